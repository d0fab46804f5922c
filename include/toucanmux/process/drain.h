#pragma once

#include <string_view>
#include <variant>
#include <vector>

#include "toucanmux/core.h"

namespace toucanmux {

/// Takes an instance or an upstream out without cutting a request: not ready,
/// then no new work, then the last answer, then out.
class drain {
 public:
  enum class phase : std::uint8_t { serving, not_ready, finishing, drained };

  struct settings {
    /// From not ready until no new work: callers and members look elsewhere
    /// meanwhile. Zero for an upstream, whose pools decide themselves.
    duration notice = std::chrono::seconds(3);
    /// From the last answer until out, so that its bytes leave.
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
  /// The operators took the leaving back.
  struct cancel {
    static constexpr std::string_view name = "stay";
    template <class Archive>
    void serialize(Archive&) {}
  };
  /// How many requests and transactions are open now.
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
  instant leave_started_at_;  ///< When leaving began.
  instant idle_since_;        ///< Since when nothing is open.
  std::uint64_t open_work_ = 0;
};

}  // namespace toucanmux
