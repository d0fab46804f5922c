#include "process/load-settings.h"

#include "process/settings-reader.h"

namespace toucanmux {

namespace {

constexpr std::int64_t rate_limit = 1'000'000;

load_team read_team(settings_reader& reader) {
  load_team out;
  out.id = team_id(reader.text("id"));
  out.key = reader.text("key");
  out.rate = static_cast<double>(reader.number("rate", 1, rate_limit));
  out.burst = static_cast<double>(reader.number("burst", 1, rate_limit));
  out.offered = static_cast<double>(reader.number("offered", 0, rate_limit));
  reader.finish();
  return out;
}

load_mix read_mix(settings_reader&& reader) {
  load_mix out;
  auto share = [&](std::string_view key, int fallback) {
    return static_cast<int>(reader.number(key, 0, 1000, fallback));
  };
  out.read = share("read", out.read);
  out.aged_read = share("aged_read", out.aged_read);
  out.write = share("write", out.write);
  out.transaction = share("transaction", out.transaction);
  out.roam_percent =
      static_cast<int>(reader.number("roam_percent", 0, 100, out.roam_percent));
  reader.finish();
  return out;
}

}  // namespace

load_settings read_load_settings(const std::string& path) {
  auto root = settings_reader::open(path);
  load_settings out;
  out.service = service_id(root.text("service"));
  out.shards = static_cast<int>(root.number("shards", 1, 10'000, 9));
  out.run_time =
      std::chrono::milliseconds(root.number("time_ms", 100, 86'400'000));
  out.max_age =
      std::chrono::milliseconds(root.number("max_age_ms", 0, 3'600'000, 2000));
  out.call_timeout =
      std::chrono::milliseconds(root.number("deadline_ms", 1, 60'000, 5000));
  out.sessions_per_team =
      static_cast<int>(root.number("sessions_per_team", 1, 100'000, 64));
  out.seed = static_cast<std::uint64_t>(
      root.number("seed", 0, std::numeric_limits<std::int64_t>::max(), 1));
  out.mix = read_mix(root.optional_table("mix"));
  for (auto& target : root.tables("targets")) {
    out.targets.push_back({target.address("address"), target.port("port")});
    target.finish();
  }
  for (auto& team : root.tables("teams")) out.teams.push_back(read_team(team));
  root.finish();
  return out;
}

}  // namespace toucanmux
