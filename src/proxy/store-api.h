#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "proxy/http-caller.h"
#include "toucanmux/proxy/fleet-config.h"
#include "toucanmux/proxy/lead-record.h"
#include "toucanmux/proxy/read-age.h"
#include "toucanmux/proxy/takeover-messages.h"
#include "toucanmux/proxy/upstream-entry.h"

/// The calls to the store and to the failover service, and what comes back, in
/// this program's types. The folder `platform/` implements it. Readers return
/// nothing, or skip an item, where the bytes are not what they should be.
namespace toucanmux::store_api {

/// Another instance, as it registered itself.
struct member_record {
  member_id id;
  domain_id domain;
  inet_address address;
};

/// A part of a list.
struct upstream_page {
  std::vector<upstream_entry> entries;
  std::size_t skipped = 0;     ///< Entries that can't be read.
  std::string continue_after;  ///< Empty at the end of the list.
  std::uint64_t revision = 0;
};

struct upstream_event {
  upstream_entry entry;
  bool removed = false;
  bool readable = false;  ///< False: only `entry.id` is known.
};

struct upstream_events {
  std::vector<upstream_event> events;
  std::uint64_t revision = 0;
};

http_call read_config(read_consistency age);
std::uint64_t object_revision(std::string_view body);
/// @throws list_error that names what is wrong.
fleet_config parse_config(std::string_view body);

http_call list_upstreams(std::string_view after, read_consistency age);
std::optional<upstream_page> parse_upstreams(std::string_view body);
http_call watch_upstreams(std::uint64_t revision, duration wait);
std::optional<upstream_events> parse_upstream_events(std::string_view body);
http_call read_upstream(const database_id& id);
std::optional<upstream_entry> parse_upstream(std::string_view body);

http_call list_members(std::string_view after, read_consistency age);
struct member_page {
  std::vector<member_record> members;
  std::string continue_after;
};
std::optional<member_page> parse_members(std::string_view body);
std::optional<member_record> parse_member(std::string_view body);
http_call create_member(const member_record& self);
/// @param revision the one that the present record was read at.
http_call replace_member(const member_record& self, std::uint64_t revision);
http_call remove_member(const member_id& id);

http_call read_duty(const group_id& group);
/// @param answered false if the store did not answer.
duty_read parse_duty(const http_result& result);
http_call write_duty(const toucanmux::write_duty& what);
duty_written parse_duty_outcome(const http_result& result);
/// What peers are told of a duty's object.
lead_record record_of(const toucanmux::write_duty& what,
                      std::uint64_t revision);
lead_record record_of(const group_id& group, const duty_read& found);
http_call list_duties(std::string_view after);
struct duty_page {
  std::vector<lead_record> records;
  std::string continue_after;
};
std::optional<duty_page> parse_duties(std::string_view body);
/// The outcome of a write as the duty's read after it shows.
duty_written outcome_by_read(const http_result& result,
                             const toucanmux::write_duty& what);

http_call name_leader(const toucanmux::name_leader& what);
naming_outcome parse_naming(const http_result& result);

}  // namespace toucanmux::store_api
