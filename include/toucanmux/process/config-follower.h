#pragma once

#include <algorithm>
#include <map>
#include <random>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "toucanmux/process/platform-object.h"
#include "toucanmux/version/config-digest.h"
#include "toucanmux/version/config-object.h"
#include "toucanmux/version/lists.h"

namespace toucanmux {

/// Applies every new version of each configuration object once and in ascending
/// order. A few members of each failure domain watch the platform; the others
/// learn of new versions from the digests in heartbeats and fetch them from
/// peers.
class config_follower {
 public:
  struct settings {
    member_id self;
    std::uint32_t watchers = 2;  ///< Per failure domain.
    duration watch_wait = std::chrono::seconds(20);
    /// Each period of this length without a confirmation by the platform adds
    /// one watcher.
    duration stale_after = std::chrono::minutes(1);
    duration retry_min = std::chrono::milliseconds(500);
    duration retry_max = std::chrono::seconds(15);
    /// Time after the start from which a member without peers watches the
    /// platform, and from which fewer than `ready_peers` peers are enough for
    /// readiness.
    duration join_wait = std::chrono::seconds(2);
    duration fetch_timeout = std::chrono::seconds(5);
    /// Number of peers whose versions are compared before the member is ready.
    std::uint32_t ready_peers = 3;
    std::uint64_t random_seed = 1;

    template <class Archive>
    void serialize(Archive& archive) {
      archive(CEREAL_NVP(self), CEREAL_NVP(watchers), CEREAL_NVP(watch_wait),
              CEREAL_NVP(stale_after), CEREAL_NVP(retry_min),
              CEREAL_NVP(retry_max), CEREAL_NVP(join_wait),
              CEREAL_NVP(fetch_timeout), CEREAL_NVP(ready_peers),
              CEREAL_NVP(random_seed));
    }
  };

  struct tick {
    static constexpr std::string_view name = "tick";
    template <class Archive>
    void serialize(Archive&) {}
  };
  /// The live members of this member's failure domain, including itself.
  struct domain_members {
    static constexpr std::string_view name = "domain_members";
    std::vector<member_id> members;
    template <class Archive>
    void serialize(Archive& archive) {
      archive(CEREAL_NVP(members));
    }
  };
  /// The configuration digest from a peer's heartbeat.
  struct peer_digest {
    static constexpr std::string_view name = "peer_digest";
    member_id from;
    std::string digest;
    template <class Archive>
    void serialize(Archive& archive) {
      archive(CEREAL_NVP(from), CEREAL_NVP(digest));
    }
  };
  /// The result of a `watch_kind` action.
  struct watch_ended {
    static constexpr std::string_view name = "watch_ended";
    std::string kind;
    bool reached = false;        ///< False if the platform did not answer.
    std::uint64_t revision = 0;  ///< Becomes `since` of the next watch.
    std::vector<config_object> objects;
    template <class Archive>
    void serialize(Archive& archive) {
      archive(CEREAL_NVP(kind), CEREAL_NVP(reached), CEREAL_NVP(revision),
              CEREAL_NVP(objects));
    }
  };
  /// The result of a `fetch_from_peer` action.
  struct fetch_ended {
    static constexpr std::string_view name = "fetch_ended";
    member_id peer;
    bool reached = false;  ///< False if the peer did not answer.
    std::vector<config_object> objects;
    template <class Archive>
    void serialize(Archive& archive) {
      archive(CEREAL_NVP(peer), CEREAL_NVP(reached), CEREAL_NVP(objects));
    }
  };
  /// A peer requests objects from this member. Answered by one `send_objects`
  /// action.
  struct peer_fetches {
    static constexpr std::string_view name = "peer_fetches";
    std::uint64_t request = 0;     ///< Returned in the answer.
    std::uint64_t newer_than = 0;  ///< A version; 0 for all objects.
    template <class Archive>
    void serialize(Archive& archive) {
      archive(CEREAL_NVP(request), CEREAL_NVP(newer_than));
    }
  };

  /// Watch the platform for objects of a kind that are newer than revision
  /// `since`; with 0, list all of them. The platform answers after `wait` at
  /// the latest.
  struct watch_kind {
    static constexpr std::string_view name = "watch_kind";
    std::string kind;
    std::uint64_t since = 0;
    duration wait{0};
    template <class Archive>
    void serialize(Archive& archive) {
      archive(CEREAL_NVP(kind), CEREAL_NVP(since), CEREAL_NVP(wait));
    }
  };
  /// Fetch the objects with versions above `newer_than` from a peer; with 0,
  /// all.
  struct fetch_from_peer {
    static constexpr std::string_view name = "fetch_from_peer";
    member_id peer;
    std::uint64_t newer_than = 0;
    template <class Archive>
    void serialize(Archive& archive) {
      archive(CEREAL_NVP(peer), CEREAL_NVP(newer_than));
    }
  };
  /// Send the objects to the peer that made the request.
  struct send_objects {
    static constexpr std::string_view name = "give_objects";
    std::uint64_t request = 0;
    std::vector<config_object> objects;
    template <class Archive>
    void serialize(Archive& archive) {
      archive(CEREAL_NVP(request), CEREAL_NVP(objects));
    }
  };
  /// This version becomes active.
  struct activate_object {
    static constexpr std::string_view name = "take_object";
    config_object object;
    template <class Archive>
    void serialize(Archive& archive) {
      archive(CEREAL_NVP(object));
    }
  };
  /// This version is invalid. The last valid version stays active.
  struct refuse_object {
    static constexpr std::string_view name = "refuse_object";
    std::string kind;
    std::string key;
    std::uint64_t version = 0;
    std::string error;  ///< Names the line and how to correct it.
    template <class Archive>
    void serialize(Archive& archive) {
      archive(CEREAL_NVP(kind), CEREAL_NVP(key), CEREAL_NVP(version),
              cereal::make_nvp("why", error));
    }
  };
  /// The digest that heartbeats carry from now on.
  struct set_digest {
    static constexpr std::string_view name = "set_digest";
    std::string digest;
    bool urgent = false;  ///< True if a version has changed.
    template <class Archive>
    void serialize(Archive& archive) {
      archive(CEREAL_NVP(digest), CEREAL_NVP(urgent));
    }
  };
  /// Both lists are active and no known peer has newer versions.
  struct become_ready {
    static constexpr std::string_view name = "become_ready";
    template <class Archive>
    void serialize(Archive&) {}
  };

  using event = std::variant<tick, domain_members, peer_digest, watch_ended,
                             fetch_ended, peer_fetches>;
  using action =
      std::variant<watch_kind, fetch_from_peer, send_objects, activate_object,
                   refuse_object, set_digest, become_ready>;

  explicit config_follower(const settings& values);
  std::vector<action> step(instant now, const event& new_event);

  bool ready() const { return ready_; }
  /// @{ The active lists; version 0 if there is none.
  const team_list& teams() const { return teams_; }
  const plan_list& plans() const { return plans_; }
  /// @}
  /// Time since the platform last confirmed that the versions here are current,
  /// directly or through a peer; a year if it never did.
  duration age(instant now) const;
  /// The active version; 0 if there is none.
  std::uint64_t version(const std::string& kind, const std::string& key) const;

 private:
  struct watch {
    bool in_progress = false;
    std::uint64_t last_revision = 0;
    std::uint32_t failures = 0;
    instant started_at;
    instant next_start_at;
    instant confirmed_at;
    bool ever_confirmed = false;
  };
  struct object_state {
    config_object active;
    config_object pending;  ///< A newer version that is not active yet.
    std::string load_error;

    std::uint64_t newest_version() const {
      return std::max(active.version, pending.version);
    }
  };
  struct fetch {
    member_id peer;  ///< Empty if no fetch is in progress.
    std::uint64_t newer_than = 0;
    instant started_at;
  };

  void handle(const tick&);
  void handle(const domain_members& update);
  void handle(const peer_digest& received);
  void handle(const watch_ended& result);
  void handle(const fetch_ended& result);
  void handle(const peer_fetches& request);

  bool should_watch() const;
  void start_due_watches();
  void finish_watch(watch& finished_watch, bool reached);
  duration retry_delay(std::uint32_t failures);
  void start_fetch(const member_id& peer, std::uint64_t newer_than);

  void record_object(const config_object& object);
  void apply_pending();
  bool apply_if_valid(object_state& state);
  bool apply_both_lists();
  void activate(object_state& state, const config_object& object);
  /// Parses the object and, if it is valid, replaces the parsed list.
  /// @return the error; empty if the object is valid.
  std::string load_object(const config_object& object);
  void record_confirmation(instant at, std::uint64_t source,
                           std::uint64_t number);
  void record_platform_confirmation();
  void detect_pause();
  void check_ready();
  void publish_digest(bool urgent);

  settings values_;
  std::mt19937_64 random_;
  std::vector<action> actions_;
  instant now_;
  instant started_at_;
  bool stepped_ = false;
  std::vector<member_id> members_;
  std::map<std::string, watch, std::less<>> watches_;
  std::map<std::pair<std::string, std::string>, object_state> objects_;
  std::set<std::pair<std::string, std::string>> pending_names_;
  team_list teams_;
  plan_list plans_;
  fetch fetch_;
  config_digest digest_;
  std::map<member_id, config_digest> peer_digests_;
  // The last confirmation number of each watcher, which is this member or one
  // whose confirmation a peer forwarded.
  std::map<std::uint64_t, std::uint64_t> last_confirmations_;
  std::uint64_t own_source_;
  std::uint64_t own_confirmations_ = 0;
  instant confirmed_at_;
  std::uint64_t confirmation_source_ = 0;
  std::uint64_t confirmation_number_ = 0;
  bool ever_confirmed_ = false;
  instant last_step_at_;
  instant trust_ages_from_;
  instant published_at_;
  bool versions_changed_ = false;
  bool ready_ = false;
};

}  // namespace toucanmux
