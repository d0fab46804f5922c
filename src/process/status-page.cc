#include "process/status-page.h"

#include <nlohmann/json.hpp>

namespace toucanmux {

namespace {

nlohmann::json describe(const group_hint& hint) {
  nlohmann::json out{{"id", hint.group.value},
                     {"term", hint.term},
                     {"primary", hint.primary.value},
                     {"writable", hint.writable}};
  for (const auto& one : hint.databases) {
    out["databases"].push_back({{"id", one.database.value},
                                {"lsn", one.position.lsn},
                                {"usable", one.usable}});
  }
  return out;
}

nlohmann::json describe(const database_group& group) {
  return {{"id", group.id.value},
          {"term", group.term},
          {"primary", group.primary.value}};
}

}  // namespace

http_response make_status_page(const member& self, const fleet_view& view,
                               bool ready,
                               const std::map<group_id, group_hint>& hints) {
  nlohmann::json out{{"id", self.id.value},
                     {"domain", self.domain.value},
                     {"incarnation", self.incarnation},
                     {"ready", ready},
                     {"pools", view.pools.size()}};
  if (view.teams) {
    out["teams_version"] = view.teams->teams().version;
    out["plans_version"] = view.teams->plans().version;
    out["teams"] = view.teams->teams().teams.size();
  }
  for (const auto& [id, group] : view.groups) {
    auto hint = hints.find(id);
    out["groups"].push_back(hint == hints.end() ? describe(group)
                                                : describe(hint->second));
  }
  http_response page;
  page.body = out.dump();
  return page;
}

}  // namespace toucanmux
