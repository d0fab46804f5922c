#pragma once

#include <array>
#include <deque>
#include <span>
#include <unordered_map>
#include <vector>

#include "toucanmux/process/member-message.h"

namespace toucanmux {

/// The known state of every member, with an incrementally updated digest of
/// each failure domain. Only the pools of other failure domains are stored.
class member_table {
 public:
  static constexpr std::size_t bucket_count = 64;
  using buckets = std::array<std::uint32_t, bucket_count>;

  /// One member. Pointers to a record stay valid until `forget_dead` erases it.
  struct record {
    member_update known;
    instant changed_at;          ///< When this table last changed the record.
    std::size_t live_index = 0;  ///< Index in `domain_view::live`.

    bool dead() const { return known.info.state == member_state::dead; }
  };

  /// The members of one failure domain.
  struct domain_view {
    std::uint32_t key = 0;
    std::vector<record*> live;  ///< Alive, suspect and leaving members.
    std::size_t live_pools = 0;
    buckets all_buckets{};
    buckets pool_buckets{};
  };

  explicit member_table(const domain_id& own);

  /// Stores an update if it is newer than the known state.
  /// @return the changed record; null if nothing changed.
  record* apply_update(instant now, const member_update& update);
  record* find(const member_id& id);
  const record* find(const member_id& id) const;
  /// Erases members that died at or before this time.
  void forget_dead(instant before);

  const domain_view& own() const { return domains_.at(own_key_); }
  const std::unordered_map<std::uint32_t, domain_view>& domains() const {
    return domains_;
  }
  /// The bucket hashes to compare with a member of this failure domain, if
  /// `same_domain`, or of another one, where only pools are compared.
  buckets digests(std::uint32_t domain, bool same_domain) const;
  /// The digest of each domain, with the same meaning of `same_domain`.
  std::vector<domain_digest> domain_digests(bool same_domain) const;
  /// The members of the buckets in `bucket_mask`, with the same meaning of
  /// `same_domain`.
  std::vector<const record*> members_in(std::uint32_t domain,
                                        std::uint64_t bucket_mask,
                                        bool same_domain) const;
  std::size_t size() const { return records_.size(); }

  /// True if `a` is a newer update of the same member than `b`.
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
