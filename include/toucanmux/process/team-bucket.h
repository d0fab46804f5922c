#pragma once

#include <deque>
#include <variant>
#include <vector>

#include "toucanmux/process/limits-message.h"
#include "toucanmux/process/limits-timing.h"

namespace toucanmux {

/// A request of the team has arrived.
struct arrival {
  static constexpr std::string_view name = "arrival";
  std::uint64_t request = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(CEREAL_NVP(request));
  }
};

struct tick {
  static constexpr std::string_view name = "tick";

  template <class Archive>
  void serialize(Archive&) {}
};

/// The allocation is due for renewal.
struct renew {
  static constexpr std::string_view name = "renew";

  template <class Archive>
  void serialize(Archive&) {}
};

/// An instance's contact with the holder of a seat.
enum class seat_contact : std::uint8_t {
  none,     ///< No reachable holder grants.
  holder,   ///< The holder is heard.
  fallback  ///< Peers are heard, but the holder is not.
};

struct contact_changed {
  static constexpr std::string_view name = "contact_changed";
  seat_contact contact = seat_contact::none;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(CEREAL_NVP(contact));
  }
};

/// The allocation is revoked: discard it with its tokens, and ignore all grants
/// in transit.
struct revoke {
  static constexpr std::string_view name = "let_go";

  template <class Archive>
  void serialize(Archive&) {}
};

struct admitted {
  static constexpr std::string_view name = "admitted";
  std::uint64_t request = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(CEREAL_NVP(request));
  }
};

struct refused {
  static constexpr std::string_view name = "refused";
  std::uint64_t request = 0;
  duration retry_after{0};

  template <class Archive>
  void serialize(Archive& archive) {
    archive(CEREAL_NVP(request), CEREAL_NVP(retry_after));
  }
};

/// A team's token bucket on one instance. A request that finds no token waits
/// for a grant of the seat; requests that wait at the same time share one grant
/// request.
class team_bucket {
 public:
  struct settings {
    team_id team;
    limits_timing timing;

    template <class Archive>
    void serialize(Archive& archive) {
      archive(CEREAL_NVP(team), CEREAL_NVP(timing));
    }
  };
  using event =
      std::variant<arrival, team_grant, renew, contact_changed, revoke, tick>;
  using action = std::variant<admitted, refused, team_grant_request>;

  explicit team_bucket(const settings& values);
  std::vector<action> step(instant now, const event& input);

  /// True if requests wait; a `tick` may then end the wait.
  bool has_waiting_requests() const { return !waiting_.empty(); }

 private:
  struct waiting_request {
    std::uint64_t request;
    instant deadline;
  };
  struct sent_request {
    std::uint64_t sequence;
    instant sent_at;
  };

  void on(instant now, const arrival& input);
  void on(instant now, const team_grant& input);
  void on(instant now, const renew& input);
  void on(instant now, const contact_changed& input);
  void on(instant now, const revoke& input);
  void on(instant now, const tick& input);

  void advance(instant now);
  void discard_allocation();
  void apply_allocation(instant now, instant sent_at,
                        const rate_allocation& allocation);
  void admit_waiting();
  void refuse_oldest(std::size_t count, duration retry_after);
  void expire_waiting(instant now);
  void request_tokens(instant now);
  void send_request(instant now, double tokens);
  double rate() const;
  double cap() const;
  duration time_to_next_token() const;

  settings settings_;
  seat_contact contact_ = seat_contact::none;
  double tokens_ = 0;
  instant advanced_at_;
  rate_allocation allocation_;
  instant allocation_expires_at_;
  std::uint64_t last_sequence_ = 0;
  std::uint64_t min_valid_sequence_ = 0;
  /// Sequence number of the token request in flight; 0 if there is none.
  std::uint64_t pending_token_request_ = 0;
  std::vector<sent_request> sent_;
  std::deque<waiting_request> waiting_;
  instant backoff_until_;
  std::uint64_t arrival_count_ = 0;
  double demand_ = 0;
  instant demand_measured_at_;
  std::vector<action> actions_;
};

}  // namespace toucanmux
