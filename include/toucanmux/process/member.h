#pragma once

#include <string>

#include "toucanmux/core.h"

namespace toucanmux {

enum class member_role : std::uint8_t { entry, pool };

/// The state of a member as seen by its peers. Of two states of the same
/// incarnation and refutation count, the later enumerator wins.
enum class member_state : std::uint8_t { alive, suspect, leaving, dead };

/// A process of the fleet and its addresses.
struct member {
  member_id id;
  domain_id domain;
  member_role role = member_role::entry;
  std::string address;             ///< An IP address.
  std::uint16_t control_port = 0;  ///< UDP, datagrams between members.
  std::uint16_t service_port = 0;  ///< TCP, statements.
  std::uint64_t incarnation = 0;   ///< Increases at every start.
  member_state state = member_state::alive;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(CEREAL_NVP(id), CEREAL_NVP(domain), CEREAL_NVP(role),
            CEREAL_NVP(address), CEREAL_NVP(control_port),
            CEREAL_NVP(service_port), CEREAL_NVP(incarnation),
            CEREAL_NVP(state));
  }
};

}  // namespace toucanmux
