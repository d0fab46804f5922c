#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "proxy/http-caller.h"
#include "proxy/store-api.h"
#include "toucanmux/proxy/store-recovery.h"

namespace toucanmux {

class peer_service;
class store_sync;
struct proxy_state;

/// Follows the duty objects of the store's generation, from which the leader
/// leases are renewed. After a restore of the store, writes the base from which
/// the new generation continues.
class duty_sync {
 public:
  duty_sync(proxy_state& state, peer_service& peers, store_sync& store);

  /// Starts the calls that are due. Called a few times a second.
  /// @param registered whether the store lists this instance.
  void tick(bool registered);
  /// Forgets what was read in an older generation of the store.
  void discard_older_generation();
  /// The group's duty as of the start of the generation.
  duty_read inherited_duty(const group_id& group) const;

 private:
  using duty_map = std::map<group_id, duty_read>;

  bool read_due() const;
  bool early_read_due() const;
  duration max_age() const;
  void update_leader_difference();
  void start_read();
  void read_page(const std::string& after);
  void handle_page(http_result&& result);
  void apply_duties();
  std::vector<leader_record> merged_records() const;

  void write_base_if_due();
  store_recovery::situation recovery_situation(
      std::span<const store_recovery::peer_knowledge> peers) const;
  std::vector<store_api::group_duty> known_duties() const;
  duty_read duty_from_record(const group_id& group,
                             const leader_record& record) const;
  void read_older_generation(std::uint64_t generation,
                             const std::string& after);
  void handle_older_page(std::uint64_t generation, http_result&& result);
  void write_base(std::span<const store_api::group_duty> duties);
  void note_settled_if_due();
  std::size_t own_turn() const;

  proxy_state& state_;
  peer_service& peers_;
  store_sync& store_;
  bool reading_ = false;
  instant next_read_;
  duty_map duties_;  ///< Of the pages read so far.
  std::optional<duty_map> base_;
  bool settled_ = false;  ///< An object of the generation says so.
  /// When the read of the first page was sent.
  std::optional<instant> sent_at_;
  duty_map inherited_;  ///< The base of the generation that is followed.
  std::optional<instant> leaders_differ_since_;
  instant follows_since_;  ///< Of the records of the present generation.
  store_recovery recovery_;
  bool writing_base_ = false;
  instant next_base_write_;
  duty_map older_duties_;  ///< Of the copy, while a base is made from it.
  instant next_settled_note_;
};

}  // namespace toucanmux
