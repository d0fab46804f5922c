#pragma once

#include <string_view>
#include <variant>
#include <vector>

#include "toucanmux/core.h"

namespace toucanmux {

/// Drains an instance or an upstream without interrupting requests. It first
/// reports not ready, then stops accepting new work, then waits for open work
/// to finish.
class drain {
 public:
  enum class phase : std::uint8_t { serving, not_ready, finishing, drained };

  struct settings {
    /// Time from reporting not ready until new work is refused, in which
    /// callers and members switch to others. Zero for an upstream, because
    /// pools choose upstreams themselves.
    duration notice = std::chrono::seconds(3);
    /// Time from the last response until the drain is complete, so that the
    /// response is transmitted.
    duration linger = std::chrono::milliseconds(500);

    template <class Archive>
    void serialize(Archive& archive) {
      archive(CEREAL_NVP(notice), CEREAL_NVP(linger));
    }
  };

  struct tick {
    static constexpr std::string_view name = "tick";
    template <class Archive>
    void serialize(Archive&) {}
  };
  struct leave {
    static constexpr std::string_view name = "leave";
    template <class Archive>
    void serialize(Archive&) {}
  };
  /// An operator cancelled the drain.
  struct cancel {
    static constexpr std::string_view name = "stay";
    template <class Archive>
    void serialize(Archive&) {}
  };
  /// The current number of open requests and transactions.
  struct work {
    static constexpr std::string_view name = "work";
    std::uint64_t open = 0;
    template <class Archive>
    void serialize(Archive& archive) {
      archive(CEREAL_NVP(open));
    }
  };

  struct show_not_ready {
    static constexpr std::string_view name = "show_not_ready";
    template <class Archive>
    void serialize(Archive&) {}
  };
  struct stop_new_work {
    static constexpr std::string_view name = "stop_new_work";
    template <class Archive>
    void serialize(Archive&) {}
  };
  struct resume_work {
    static constexpr std::string_view name = "resume_work";
    template <class Archive>
    void serialize(Archive&) {}
  };
  struct completed {
    static constexpr std::string_view name = "go_out";
    template <class Archive>
    void serialize(Archive&) {}
  };

  using event = std::variant<tick, leave, cancel, work>;
  using action =
      std::variant<show_not_ready, stop_new_work, resume_work, completed>;

  explicit drain(const settings& values) : values_(values) {}
  std::vector<action> step(instant now, const event& new_event);

  phase state() const { return phase_; }

 private:
  void advance(instant now, std::vector<action>& actions);

  settings values_;
  phase phase_ = phase::serving;
  instant drain_started_at_;
  instant idle_since_;  ///< Start of the `linger` time.
  std::uint64_t open_work_ = 0;
};

}  // namespace toucanmux
