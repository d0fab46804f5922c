#pragma once

#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <string>
#include <vector>

#include "toucanmux/core.h"
#include "toucanmux/request/statement.h"

/// The team list and the plan list, which operators edit.
namespace toucanmux {

/// A team: a customer with its plan, its own limits if they differ from the
/// plan's, and the hashes of its keys.
struct team {
  team_id id;
  plan_id plan;
  double rate = 0;   ///< Statements per second; 0 for the plan's rate.
  double burst = 0;  ///< Statements; 0 for the plan's burst.
  std::vector<std::string> key_hashes;  ///< SHA-256, lower-case hex.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(CEREAL_NVP(id), CEREAL_NVP(plan), CEREAL_NVP(rate),
            CEREAL_NVP(burst), CEREAL_NVP(key_hashes));
  }
};

/// A service and an access class that a plan allows.
struct route {
  service_id service;
  access_class access = access_class::read;

  bool operator==(const route&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(CEREAL_NVP(service), CEREAL_NVP(access));
  }
};

/// A route that callers may use without a key, with its own rate limit.
struct open_route {
  service_id service;
  access_class access = access_class::read;
  double rate = 1;   ///< Statements per second over the whole fleet.
  double burst = 1;  ///< Statements.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(CEREAL_NVP(service), CEREAL_NVP(access), CEREAL_NVP(rate),
            CEREAL_NVP(burst));
  }
};

/// A plan that teams subscribe to: limits and allowed routes.
struct plan {
  plan_id id;
  double rate = 1;    ///< Statements per second of one team, fleet-wide.
  double burst = 1;   ///< Statements.
  double weight = 1;  ///< Relative share of a busy database.
  std::vector<route> routes;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(CEREAL_NVP(id), CEREAL_NVP(rate), CEREAL_NVP(burst),
            CEREAL_NVP(weight), CEREAL_NVP(routes));
  }
};

/// The platform's object `lists/teams`.
struct team_list {
  std::uint64_t version = 0;  ///< From the platform; greater is newer.
  std::vector<team> teams;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(CEREAL_NVP(version), CEREAL_NVP(teams));
  }
};

/// The platform's object `lists/plans`.
struct plan_list {
  std::uint64_t version = 0;  ///< From the platform; greater is newer.
  std::vector<plan> plans;
  std::vector<open_route> open_routes;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(CEREAL_NVP(version), CEREAL_NVP(plans), CEREAL_NVP(open_routes));
  }
};

}  // namespace toucanmux
