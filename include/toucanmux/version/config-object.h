#pragma once

#include <cereal/types/string.hpp>
#include <string>

#include "toucanmux/core.h"

namespace toucanmux {

/// One version of a configuration object that operators or the fleet write:
/// `lists/teams`, `lists/plans`, `groups/ID` or `services/ID`.
struct config_object {
  std::string kind;
  std::string key;
  std::uint64_t version = 0;  ///< From the platform; greater is newer.
  std::string value;          ///< JSON, at most 1 MB.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(CEREAL_NVP(kind), CEREAL_NVP(key), CEREAL_NVP(version),
            CEREAL_NVP(value));
  }
};

}  // namespace toucanmux
