#pragma once

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "proxy/http-caller.h"
#include "toucanmux/proxy/fleet-config.h"
#include "toucanmux/proxy/leader-record.h"
#include "toucanmux/proxy/read-consistency.h"
#include "toucanmux/proxy/takeover-messages.h"
#include "toucanmux/proxy/upstream-entry.h"

/// Requests to the store and to the failover service, and parsers of their
/// responses. Implemented in `platform/`. Parsers of a body return nothing if
/// it is malformed; parsers of lists skip malformed items.
namespace toucanmux::store_api {

/// Stands for the name of a malformed item that has none.
inline constexpr std::string_view unnamed = "-";

/// An instance's registration in the store.
struct member_record {
  member_id id;
  domain_id domain;
  inet_address address;
  /// CPU capacity in thousandths of a core; 0 if unknown.
  std::uint32_t capacity = 0;
};

/// One page of the database list.
struct upstream_page {
  std::vector<upstream_entry> entries;
  std::vector<std::string> skipped;  ///< Names of malformed entries.
  /// Name of the last item if more pages follow; empty at the end of the list.
  std::string continue_after;
  std::uint64_t revision = 0;
};

struct upstream_event {
  upstream_entry entry;
  bool removed = false;
  /// False: the entry is malformed, and only `entry.id` is set.
  bool readable = false;
};

struct upstream_events {
  std::vector<upstream_event> events;
  std::uint64_t revision = 0;
};

/// The generation of the store that gave an answer: 1, and one more for each
/// restore from an older copy. A restore undoes acknowledged writes and lets
/// revisions start over from the copy, so revisions are only comparable within
/// one generation.
std::uint64_t store_generation(const http_result& result);

http_call read_config(read_consistency consistency);
/// The store's revision of an object; 0 if the body is malformed.
std::uint64_t object_revision(std::string_view body);

struct parsed_config {
  fleet_config config;
  std::size_t skipped_items = 0;  ///< Malformed routes, groups and teams.
};
/// @throws list_error if the body is no valid configuration.
parsed_config parse_config(std::string_view body);

http_call list_upstreams(std::string_view after, read_consistency consistency);
std::optional<upstream_page> parse_upstreams(std::string_view body);
http_call watch_upstreams(std::uint64_t revision, duration wait);
std::optional<upstream_events> parse_upstream_events(std::string_view body);
http_call read_upstream(const database_id& id);
std::optional<upstream_entry> parse_upstream(std::string_view body);

/// One page of the list of drained failure domains.
struct drained_domain_page {
  std::vector<domain_id> domains;
  std::size_t skipped_entries = 0;  ///< Malformed entries.
  std::string continue_after;
  std::uint64_t revision = 0;
};
http_call list_drained_domains(std::string_view after);
/// A store that has no such list has no drained domains.
std::optional<drained_domain_page> parse_drained_domains(
    const http_result& result);

http_call list_members(std::string_view after, read_consistency consistency);
struct member_page {
  std::vector<member_record> members;
  std::vector<std::string> skipped;  ///< Names of malformed records.
  std::string continue_after;
};
std::optional<member_page> parse_members(std::string_view body);
std::optional<member_record> parse_member(std::string_view body);
http_call create_member(const member_record& self);
/// @param revision the record's revision as last read; the write fails if the
/// record has changed since.
http_call replace_member(const member_record& self, std::uint64_t revision);
http_call remove_member(const member_id& id);

/// The duty objects of each generation of the store are of a kind of their own,
/// so that a write of an older generation changes none, however late it takes
/// effect.
http_call read_duty(const group_id& group, std::uint64_t generation);
/// `store_reached` is false if the store gave no usable answer.
duty_read parse_duty(const http_result& result);
http_call write_duty(const toucanmux::write_duty& request,
                     std::uint64_t generation);
duty_written parse_duty_outcome(const http_result& result);
/// The record of a duty object for reports to peers.
leader_record to_leader_record(const toucanmux::write_duty& request,
                               std::uint64_t revision,
                               std::uint64_t generation);
leader_record to_leader_record(const group_id& group, const duty_read& duty,
                               std::uint64_t generation);
http_call list_duties(std::string_view after, std::uint64_t generation);
struct group_duty {
  group_id group;
  duty_read duty;
};
struct duty_page {
  std::vector<group_duty> duties;
  /// The duties as of the start of the generation; nothing if the page has no
  /// base object.
  std::optional<std::vector<group_duty>> base;
  bool settled = false;  ///< An object says that the generation is settled.
  /// Names of malformed objects; their groups count as without a leader.
  std::vector<std::string> skipped;
  std::string continue_after;
};
/// Creates the base of a generation; fails if there is one.
/// @param settled whether the generation is settled already.
http_call create_base(std::span<const group_duty> duties, bool settled,
                      std::uint64_t generation);
/// Notes that the generation is settled.
http_call create_settled_note(std::uint64_t generation);
std::optional<duty_page> parse_duties(std::string_view body);
/// The outcome of a write whose response was lost, from a later read of the
/// duty.
duty_written duty_outcome_by_read(const http_result& result,
                                  const toucanmux::write_duty& request);

http_call request_promotion(const toucanmux::request_promotion& request);
promotion_outcome parse_promotion(const http_result& result);

}  // namespace toucanmux::store_api
