#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "soak/cut-statement.h"

namespace toucanmux::soak {

/// Checks that planned work, such as the stop of an instance, cuts off no
/// statement. It knows which signals were sent and when trouble was injected.
class stop_check {
 public:
  /// What the databases saw of a statement.
  struct database_work {
    bool received = false;
    std::optional<instant> answered_at;  ///< The last answer, if any.
  };

  /// @param grace from SIGTERM until SIGKILL.
  /// @param time_limit of a statement.
  stop_check(int instances, duration grace, duration time_limit);

  /// Unplanned trouble at the instance or on its link to the store.
  void on_trouble(int instance, instant now);
  /// Unplanned trouble at a database or the store.
  void on_shared_trouble(instant now) { shared_trouble_at_ = now; }
  void on_stop(int instance, instant now);
  void on_cut(const cut_statement& cut);

  /// Statements cut off so far, also with a valid reason.
  std::size_t cut_count() const { return cut_count_; }
  /// Stops of instances beside which a statement could be judged.
  std::size_t calm_stops() const { return calm_stops_; }
  /// Describes every statement that was cut off without a valid reason.
  std::vector<std::string> violations(
      const std::function<database_work(const std::string& id)>& work_on) const;

 private:
  struct instance {
    instant trouble_at;
    std::optional<instant> stopped_at;
  };
  struct judged_cut {
    cut_statement cut;
    std::optional<instant> stopped_at;
  };

  bool had_trouble(int number, instant since) const;
  bool valid(const judged_cut& judged, const database_work& work) const;

  duration grace_;
  duration time_limit_;
  instant shared_trouble_at_;
  std::vector<instance> instances_;
  std::vector<judged_cut> cuts_;
  std::size_t cut_count_ = 0;
  std::size_t calm_stops_ = 0;
};

}  // namespace toucanmux::soak
