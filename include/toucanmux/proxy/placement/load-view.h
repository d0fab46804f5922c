#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <vector>

#include "toucanmux/core.h"
#include "toucanmux/proxy/placement/database-load.h"

namespace toucanmux {

/// The load of one database in the whole fleet.
struct fleet_load {
  double in_flight = 0;  ///< Statements in progress, with the own ones.
  database_load peers;   ///< What the peers report, with its age.
};

/// The loads that peers have reported. Each report replaces the one before it
/// of the same source, so that neither a lost nor a repeated report counts
/// twice.
class load_view {
 public:
  /// What a source stands for. A value beyond what its instances can do is
  /// clamped.
  enum class source_kind : std::uint8_t {
    instance,  ///< One instance of this failure domain, or of a mesh.
    domain,    ///< The sums of another failure domain.
    fleet      ///< The sums of all other instances.
  };

  /// Replaces the loads of a source; databases that it does not name are idle.
  void apply(instant now, std::uint64_t source, source_kind kind,
             std::span<const database_load> loads);
  void clear() { sources_.clear(); }

  /// True if a report is recent enough to base a choice on it.
  bool known(instant now) const { return age(now).has_value(); }
  /// Mean age of the recent reports; nothing if there is none.
  std::optional<duration> age(instant now) const;
  /// The loads of one group's databases. As the peers' reports get older than
  /// their useful lifetime, their loads decay towards the mean of the group.
  /// @param own the own load at each of the databases.
  std::vector<fleet_load> loads(instant now,
                                std::span<const database_load> own) const;
  /// Sums of the own loads and those of the sources, with their ages.
  /// @param all also of other failure domains.
  std::vector<database_load> sums(instant now,
                                  std::span<const database_load> own,
                                  bool all) const;

 private:
  struct source {
    source_kind kind = source_kind::instance;
    instant received_at;
    std::vector<database_load> loads;  ///< Sorted by database.

    const database_load* find(std::uint32_t database) const;
  };

  static bool is_recent(instant now, const source& reporter);
  /// The most that one instance may claim of a database.
  struct claim_limits {
    double in_flight = 0;
    double reads = 0;
  };

  claim_limits instance_limits(instant now, std::uint32_t database) const;
  static database_load aged(instant now, const source& reporter,
                            const database_load& load,
                            const claim_limits& limits);
  database_load peers_load(instant now, std::uint32_t database) const;

  std::map<std::uint64_t, source> sources_;
};

}  // namespace toucanmux
