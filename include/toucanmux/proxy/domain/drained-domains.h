#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

#include "toucanmux/proxy/domain/drained-domains-report.h"
#include "toucanmux/proxy/list-confirmation.h"
#include "toucanmux/proxy/store-version.h"

namespace toucanmux {

/// The failure domains that the operators drain, as last learned from the store
/// or from a peer. The last known state stays valid, however old it is.
class drained_domains {
 public:
  /// Declares that the deployment has such a list. Until it is known, every
  /// domain counts as drained.
  void follow() { followed_ = true; }
  bool followed() const { return followed_; }
  /// False while the list is followed and was not learned yet.
  bool known() const { return !followed_ || known_; }
  bool contains(const domain_id& domain) const;
  /// Low bits of the stable hashes of the domains' names; sorted.
  std::span<const std::uint32_t> hashes() const { return hashes_; }
  const list_confirmation& confirmation() const { return confirmation_; }

  /// Whether a list may end drains that it lacks.
  enum class completeness : std::uint8_t {
    complete,
    partial  ///< A restore of the store may have undone drains.
  };

  /// The whole list was read.
  /// @param sent_at when the linearizable read was sent.
  void apply_list(instant sent_at, const store_version& version,
                  std::span<const domain_id> domains,
                  completeness trust = completeness::complete);
  /// A peer reported its list. An older list than the known one is ignored.
  /// @param confirmed_at when the peer's list is known to have been current, if
  /// that is known.
  void apply_report(std::uint64_t generation,
                    const drained_domains_report& report,
                    std::optional<instant> confirmed_at);
  /// The report of this list; nothing if it is not known, or if it is of
  /// another generation of the store.
  std::optional<drained_domains_report> report(instant now,
                                               std::uint64_t generation) const;

 private:
  bool replace(const store_version& version, std::vector<std::uint32_t> hashes);

  bool followed_ = false;
  bool known_ = false;
  store_version version_;
  std::vector<std::uint32_t> hashes_;
  list_confirmation confirmation_;
};

}  // namespace toucanmux
