#pragma once

#include <string>
#include <string_view>

#include "toucanmux/version/lists.h"
#include "toucanmux/version/topology.h"

/// Parsing and formatting of the JSON objects that the platform stores: the
/// team list, the plan list and database groups. The parsers reject invalid
/// text entirely. The error names the line and how to correct it.
namespace toucanmux {

/// Parses the object `lists/teams`.
/// @param plans if not null, must contain the plan of every team.
/// @throws list_error if the text isn't a valid team list.
team_list parse_team_list(std::string_view text, std::uint64_t version,
                          const plan_list* plans = nullptr);

/// Parses the object `lists/plans`.
/// @throws list_error if the text isn't a valid plan list.
plan_list parse_plan_list(std::string_view text, std::uint64_t version);

/// Parses an object `groups/ID`.
/// @throws list_error if the text isn't a valid database group.
database_group parse_database_group(std::string_view text);

/// Checks that `plans` contains the plan of every team.
/// @throws list_error that names the first team whose plan is missing.
void check_plans_in_use(const plan_list& plans, const team_list& teams);

/// @{ Format JSON that the parsers accept, with one team, plan, open route or
/// database per line.
std::string to_json_text(const team_list& list);
std::string to_json_text(const plan_list& list);
std::string to_json_text(const database_group& group);
/// @}

/// The name of an access class in the lists: read, write or transaction.
std::string_view to_string(access_class access);

}  // namespace toucanmux
