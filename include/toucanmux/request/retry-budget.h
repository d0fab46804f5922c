#pragma once

#include <boost/container/small_vector.hpp>
#include <variant>

#include "toucanmux/core.h"

namespace toucanmux {

/// A request of the team begins.
struct request_counted {
  static constexpr std::string_view name = "request_counted";
  template <class Archive>
  void serialize(Archive&) {}
};

/// A request of the team wants to try again.
struct retry_wanted {
  static constexpr std::string_view name = "retry_wanted";
  template <class Archive>
  void serialize(Archive&) {}
};

/// The retry may be sent; it is already counted.
struct retry_allowed {
  static constexpr std::string_view name = "retry_allowed";
  template <class Archive>
  void serialize(Archive&) {}
};

/// Sending it would add load to a fault.
struct retry_refused {
  static constexpr std::string_view name = "retry_refused";
  template <class Archive>
  void serialize(Archive&) {}
};

/// The retry budget of one team at one instance: a share of its recent
/// requests and a small floor, so that retries never multiply a fault's load.
class retry_budget {
 public:
  struct settings {
    double share = 0.1;     ///< Retries per request.
    double floor_rate = 1;  ///< Retries a second without any request.
    double capacity = 20;   ///< Retries that may be saved up.

    template <class Archive>
    void serialize(Archive& archive) {
      archive(CEREAL_NVP(share), CEREAL_NVP(floor_rate),
              cereal::make_nvp("most_saved", capacity));
    }
  };

  using event = std::variant<request_counted, retry_wanted>;
  using action = std::variant<retry_allowed, retry_refused>;
  using actions = boost::container::small_vector<action, 1>;

  retry_budget() : retry_budget(settings()) {}
  /// Starts with one second of the floor.
  explicit retry_budget(const settings& values);

  actions step(instant now, const event& new_event);

  void count_request(instant now);
  /// True if a retry may be sent now; counts nothing.
  bool may_retry(instant now);
  void count_retry(instant now);

 private:
  void refill(instant now);
  void add_tokens(double tokens);

  settings settings_;
  double tokens_;
  instant refilled_at_{};
};

}  // namespace toucanmux
