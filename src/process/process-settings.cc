#include "process/process-settings.h"

#include <chrono>
#include <set>

#include "toucanmux/error.h"

namespace toucanmux {

namespace {

constexpr std::size_t session_key_bytes = 16;
constexpr std::string_view log_levels[] = {"info", "trace", "debug", "warning",
                                           "error"};
constexpr std::string_view roles[] = {"entry", "pool"};

constexpr std::int64_t default_request_ms = 10'000;
constexpr std::int64_t default_idle_ms = 600'000;
constexpr std::int64_t default_drain_notice_ms = 3'000;
constexpr std::int64_t default_transaction_idle_ms = 5'000;

// Grows with every start, so that a restarted process is distinguished from its
// former run.
std::uint64_t start_incarnation() {
  auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(since_epoch)
          .count());
}

duration milliseconds(settings_reader& reader, std::string_view key,
                      std::int64_t fallback) {
  constexpr std::int64_t one_day_ms = 86'400'000;
  return std::chrono::milliseconds(reader.number(key, 1, one_day_ms, fallback));
}

member read_member(settings_reader& reader, member_role role) {
  member out;
  out.id = member_id(reader.text("id"));
  out.domain = domain_id(reader.text("domain"));
  out.role = role;
  out.address = reader.address("address");
  out.control_port = reader.port("control_port");
  out.service_port = reader.port("service_port");
  return out;
}

member_role read_role(settings_reader& reader) {
  return reader.choice("role", roles) == "pool" ? member_role::pool
                                                : member_role::entry;
}

process_settings read_process(settings_reader& root, member_role role) {
  process_settings out;
  auto process = root.table("process");
  out.self = read_member(process, role);
  out.self.incarnation = start_incarnation();
  out.admin_port = process.port("admin_port");
  out.log_level = process.choice("log_level", log_levels);
  out.threads = static_cast<int>(process.number("threads", 1, 64, 1));
  out.drain_notice =
      milliseconds(process, "drain_notice_ms", default_drain_notice_ms);
  out.test_controls = process.flag("test_controls", false);
  process.finish();
  auto platform = root.table("platform");
  out.platform = {platform.address("address"), platform.port("port")};
  platform.finish();
  for (auto& seed : root.tables("seeds")) {
    auto seed_role = read_role(seed);
    out.seeds.push_back(read_member(seed, seed_role));
    seed.finish();
  }
  return out;
}

std::vector<domain_id> read_domains(settings_reader& root,
                                    const process_settings& process) {
  std::set<domain_id> out;
  auto limits = root.optional_table("limits");
  for (auto& domain : limits.tables("domains")) {
    out.insert(domain_id(domain.text("id")));
    domain.finish();
  }
  limits.finish();
  if (!out.empty()) return {out.begin(), out.end()};
  out.insert(process.self.domain);
  for (const auto& seed : process.seeds) {
    if (seed.role == member_role::entry) out.insert(seed.domain);
  }
  return {out.begin(), out.end()};
}

}  // namespace

entry_settings read_entry_settings(const std::string& path) {
  auto root = settings_reader::open(path);
  entry_settings out;
  out.process = read_process(root, member_role::entry);
  auto callers = root.table("callers");
  out.caller_address = callers.address("address");
  out.caller_port = callers.port("port");
  out.request_timeout = milliseconds(callers, "request_ms", default_request_ms);
  out.idle_timeout = milliseconds(callers, "idle_ms", default_idle_ms);
  out.session_key = callers.text_of_at_least("session_key", session_key_bytes);
  callers.finish();
  out.domains = read_domains(root, out.process);
  root.finish();
  return out;
}

pool_settings read_pool_settings(const std::string& path) {
  auto root = settings_reader::open(path);
  pool_settings out;
  out.process = read_process(root, member_role::pool);
  auto upstreams = root.optional_table("upstreams");
  out.connections_per_database = static_cast<int>(
      upstreams.number("connections_per_database", 1, 10'000, 12));
  out.queue_limit =
      static_cast<int>(upstreams.number("queue_limit", 1, 1'000'000, 1000));
  out.transaction_idle_timeout = milliseconds(upstreams, "transaction_idle_ms",
                                              default_transaction_idle_ms);
  upstreams.finish();
  root.finish();
  return out;
}

}  // namespace toucanmux
