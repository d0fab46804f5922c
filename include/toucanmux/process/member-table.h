#pragma once

#include <array>
#include <deque>
#include <span>
#include <unordered_map>
#include <vector>

#include "toucanmux/process/member-message.h"

namespace toucanmux {

/// What a member knows of every other one, with a digest of each failure
/// domain that is kept up to date with every change. Of other domains only
/// pools are kept.
class member_table {
 public:
  static constexpr std::size_t bucket_count = 64;
  using buckets = std::array<std::uint32_t, bucket_count>;

  /// One member. Its place in memory stays until it is forgotten.
  struct record {
    member_update known;
    instant changed_at;          ///< When its state last changed here.
    std::size_t live_index = 0;  ///< Among its domain's live members.

    bool dead() const { return known.info.state == member_state::dead; }
  };

  /// The members of one failure domain.
  struct domain_view {
    std::uint32_t key = 0;
    std::vector<record*> live;  ///< Alive, suspect and leaving ones.
    std::size_t live_pools = 0;
    buckets all_buckets{};
    buckets pool_buckets{};
  };

  explicit member_table(const domain_id& own);

  /// Takes an update if it says more than what is known.
  /// @return the record if something changed, else null.
  record* apply_update(instant now, const member_update& update);
  record* find(const member_id& id);
  const record* find(const member_id& id) const;
  /// Drops members that have been dead since `before` or longer.
  void forget_dead(instant before);

  const domain_view& own() const { return domains_.at(own_key_); }
  const std::unordered_map<std::uint32_t, domain_view>& domains() const {
    return domains_;
  }
  /// The hashes to compare with a member of the same domain, if `inside`, or
  /// of another one.
  buckets digests(std::uint32_t domain, bool same_domain) const;
  /// The domains' digests, likewise.
  std::vector<domain_digest> domain_digests(bool same_domain) const;
  /// Members of the buckets in `mask`, likewise.
  std::vector<const record*> members_in(std::uint32_t domain,
                                        std::uint64_t bucket_mask,
                                        bool same_domain) const;
  std::size_t size() const { return records_.size(); }

  /// True if `a` says more about a member than `b`.
  static bool newer(const member_update& a, const member_update& b);
  static std::uint32_t key_of(const domain_id& domain);
  static std::size_t bucket_of(const member_id& id);

 private:
  void add_to_domain(record& changed);
  void remove_from_domain(record& changed);
  void toggle_hash(const record& changed);

  std::uint32_t own_key_;
  std::unordered_map<member_id, record> records_;
  std::unordered_map<std::uint32_t, domain_view> domains_;
  std::deque<std::pair<instant, member_id>> dead_;
};

}  // namespace toucanmux
