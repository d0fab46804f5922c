#pragma once

#include <string>
#include <string_view>

#include "toucanmux/version/lists.h"
#include "toucanmux/version/topology.h"

/// The platform's JSON of the two lists and of the database groups. Every
/// parser refuses a text whole; the error names the line and the remedy.
namespace toucanmux {

/// Reads the object `lists/teams`.
/// @param plans if given, every team's plan must be in it.
/// @throws list_error on text that breaks a rule of the lists.
team_list parse_team_list(std::string_view text, std::uint64_t version,
                          const plan_list* plans = nullptr);

/// Reads the object `lists/plans`.
/// @throws list_error on text that breaks a rule of the lists.
plan_list parse_plan_list(std::string_view text, std::uint64_t version);

/// Reads an object `groups/ID`.
/// @throws list_error on text that describes no group.
database_group parse_database_group(std::string_view text);

/// Checks that no team is left without its plan.
/// @throws list_error naming the first such team.
void check_plans_in_use(const plan_list& plans, const team_list& teams);

/// @{ Print what the parsers read; one team, plan or database a line.
std::string to_json_text(const team_list& list);
std::string to_json_text(const plan_list& list);
std::string to_json_text(const database_group& group);
/// @}

/// The word of an access class in the lists: read, write or transaction.
std::string_view to_string(access_class access);

}  // namespace toucanmux
