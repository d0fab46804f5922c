#pragma once

#include <cstdint>
#include <span>
#include <vector>

#include "toucanmux/core.h"
#include "toucanmux/proxy/placement/database-load.h"

namespace toucanmux {

/// Decides which databases of a group get no reads because of how their reads
/// ended. At most half of the usable databases are ejected at once, and never
/// the last one. Statements that only the leader can run are not affected.
class ejection_policy {
 public:
  /// How the reads of one database ended.
  struct evidence {
    std::uint32_t database = 0;
    bool usable = false;
    database_load own;
    database_load peers;
  };
  enum class reason : std::uint8_t { failing, refusing, slow };
  struct event {
    std::uint32_t database = 0;
    bool ejected = false;  ///< Otherwise it begins to return.
    reason cause = reason::failing;
    duration time{0};  ///< Of the ejection.
  };

  /// Evaluates the group's databases.
  /// @return what has changed.
  std::vector<event> evaluate(instant now, std::span<const evidence> group);
  /// The share of its usual reads that a database gets: 0 while it is ejected,
  /// rising to 1 while it returns.
  double share(instant now, std::uint32_t database) const;
  /// Number of databases that are ejected.
  std::size_t ejected(instant now) const;
  void clear() { ejections_.clear(); }

 private:
  struct ejection {
    std::uint32_t database = 0;
    instant ends_at;
    unsigned count = 1;  ///< Ejections in a row.
    bool returning = false;
    reason cause = reason::failing;
  };

  std::vector<event> begin_returns(instant now);
  ejection* find(std::uint32_t database);

  std::vector<ejection> ejections_;
};

}  // namespace toucanmux
