#pragma once

#include <cereal/types/string.hpp>
#include <map>
#include <variant>
#include <vector>

#include "toucanmux/process/limits-message.h"
#include "toucanmux/process/limits-timing.h"
#include "toucanmux/process/platform-object.h"
#include "toucanmux/process/seat.h"
#include "toucanmux/process/team-bucket.h"

namespace toucanmux {

/// The value of the platform's object `seats/DOMAIN-N`.
struct seat_record {
  member_id holder;
  std::uint64_t epoch = 0;
  /// Unique to each write. A holder recognizes by it that its write succeeded
  /// although the answer was lost.
  std::string nonce;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(CEREAL_NVP(holder), CEREAL_NVP(epoch), CEREAL_NVP(nonce));
  }
};

std::string to_json(const seat_record& record);
/// @throws platform_error if the text is not a valid seat record.
seat_record parse_seat_record(const std::string& json);
std::string seat_key(const domain_id& domain, std::uint32_t seat);

/// The instances of the failure domain.
struct members_known {
  static constexpr std::string_view name = "members_known";
  std::vector<member_id> members;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(CEREAL_NVP(members));
  }
};

/// A message of any kind came from a member of the failure domain.
struct peer_heard {
  static constexpr std::string_view name = "peer_heard";
  member_id from;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(CEREAL_NVP(from));
  }
};

/// A member announced that it holds the seat.
struct holder_heard {
  static constexpr std::string_view name = "holder_heard";
  member_id from;
  seat_term term;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(CEREAL_NVP(from), CEREAL_NVP(term));
  }
};

/// A member confirmed that it has no allocation of a term before `term`.
struct release_heard {
  static constexpr std::string_view name = "release_heard";
  member_id from;
  seat_term term;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(CEREAL_NVP(from), CEREAL_NVP(term));
  }
};

/// This instance holds the seat: announce the term, and grant in it if `open`.
struct hold_seat {
  static constexpr std::string_view name = "hold";
  seat_term term;
  bool open = false;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(CEREAL_NVP(term), CEREAL_NVP(open));
  }
};

/// Stop granting: another instance holds the seat, or this one must verify that
/// it still does.
struct stop_granting {
  static constexpr std::string_view name = "stop_granting";

  template <class Archive>
  void serialize(Archive&) {}
};

/// Decides which instance of the failure domain holds a seat. A holder does not
/// renew its lease in the platform, so that a platform outage does not revoke
/// it. A candidate takes over once the holder has been silent for
/// `reclaim_timeout` and a conditional write to the platform has succeeded. It
/// grants only after every instance of the domain has released its allocations
/// or been silent for `reclaim_timeout`.
class seat_lease {
 public:
  struct settings {
    member_id self;
    domain_id domain;
    std::uint32_t seat = 0;
    /// Unique to this process; the epoch of each write is appended.
    std::string nonce;
    limits_timing timing;

    template <class Archive>
    void serialize(Archive& archive) {
      archive(CEREAL_NVP(self), CEREAL_NVP(domain), CEREAL_NVP(seat),
              CEREAL_NVP(nonce), CEREAL_NVP(timing));
    }
  };
  using event = std::variant<members_known, peer_heard, holder_heard,
                             release_heard, object_read, object_written, tick>;
  using action =
      std::variant<read_object, write_object, hold_seat, stop_granting>;

  explicit seat_lease(const settings& values);
  std::vector<action> step(instant now, const event& input);

 private:
  enum class phase { following, verifying, awaiting_releases, granting };
  enum class platform_call { none, reading, writing };
  struct peer {
    instant heard_at;
    bool listed = true;
    seat_term released_term;
  };

  void on(instant now, const members_known& input);
  void on(instant now, const peer_heard& input);
  void on(instant now, const holder_heard& input);
  void on(instant now, const release_heard& input);
  void on(instant now, const object_read& input);
  void on(instant now, const object_written& input);
  void on(instant now, const tick& input);

  void start(instant now);
  void handle_pause(instant now);
  void record_contact(instant now, const member_id& from);
  bool has_peer_contact(instant now) const;
  bool may_claim(instant now) const;
  int candidate_rank(instant now) const;
  void read();
  void write(const seat_record& stored, std::uint64_t version);
  void follow(instant now, std::uint64_t epoch);
  void start_verifying();
  void await_releases(instant now, std::uint64_t epoch);
  void open_if_released(instant now);

  settings settings_;
  phase phase_ = phase::following;
  platform_call pending_call_ = platform_call::none;
  instant retry_at_;
  instant started_;
  instant last_step_at_;
  bool running_ = false;
  std::uint64_t newest_epoch_ = 0;  ///< The greatest epoch known.
  seat_term own_term_;              ///< The newest term held by this instance.
  member_id last_holder_;           ///< The last peer heard as holder.
  instant holder_heard_at_;
  instant peer_heard_at_;
  std::map<member_id, peer> peers_;
  std::uint64_t written_epoch_ = 0;
  std::string last_nonce_;
  std::vector<action> actions_;
};

}  // namespace toucanmux
