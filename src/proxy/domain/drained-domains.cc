#include "toucanmux/proxy/domain/drained-domains.h"

#include <algorithm>

#include "toucanmux/hash.h"

namespace toucanmux {

namespace {

// A list of this age confirms nothing.
constexpr duration max_reported_age = std::chrono::seconds(1000);

std::uint32_t age_ms(const list_confirmation& list, instant now) {
  auto age = list.confirmed() ? list.age(now) : max_reported_age;
  auto limited = std::clamp<duration>(age, duration{0}, max_reported_age);
  auto rounded_up = std::chrono::ceil<std::chrono::milliseconds>(limited);
  return static_cast<std::uint32_t>(rounded_up.count());
}

}  // namespace

bool drained_domains::contains(const domain_id& domain) const {
  if (!known()) return true;
  if (hashes_.empty()) return false;
  return std::binary_search(hashes_.begin(), hashes_.end(),
                            short_hash(domain.value));
}

void drained_domains::apply_list(instant sent_at, const store_version& version,
                                 std::span<const domain_id> domains,
                                 completeness trust) {
  std::vector<std::uint32_t> hashes;
  if (trust == completeness::partial) hashes = hashes_;
  for (const auto& domain : domains) hashes.push_back(short_hash(domain.value));
  if (replace(version, std::move(hashes))) confirmation_.confirm_list(sent_at);
}

void drained_domains::apply_report(std::uint64_t generation,
                                   const drained_domains_report& report,
                                   std::optional<instant> confirmed_at) {
  store_version reported{generation, report.revision};
  if (!followed_ || reported.revision == 0) return;
  if (!known_ || version_ < reported) replace(reported, report.domains.items);
  if (confirmed_at)
    confirmation_.confirm_report(version_, reported, *confirmed_at);
}

bool drained_domains::replace(const store_version& version,
                              std::vector<std::uint32_t> hashes) {
  // A store without such a list gives no revision.
  bool has_revision = version.revision != 0;
  if (known_ && has_revision && version < version_) return false;
  std::sort(hashes.begin(), hashes.end());
  hashes.erase(std::unique(hashes.begin(), hashes.end()), hashes.end());
  hashes_ = std::move(hashes);
  version_ = std::max(version_, version);
  known_ = true;
  return true;
}

std::optional<drained_domains_report> drained_domains::report(
    instant now, std::uint64_t generation) const {
  bool reportable = followed_ && known_ && version_.generation == generation;
  if (!reportable) return {};
  drained_domains_report out;
  out.revision = version_.revision;
  out.age_ms = age_ms(confirmation_, now);
  auto count = std::min<std::size_t>(hashes_.size(),
                                     drained_domains_report::max_domains);
  out.domains.items.assign(
      hashes_.begin(), hashes_.begin() + static_cast<std::ptrdiff_t>(count));
  return out;
}

}  // namespace toucanmux
