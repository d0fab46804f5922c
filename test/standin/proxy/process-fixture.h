#pragma once

#include <memory>
#include <string>

#include "proxy/proxy-process.h"
#include "standin/process-address.h"
#include "standin/proxy/line-client.h"
#include "standin/proxy/line-database.h"
#include "standin/proxy/platform-stub.h"

namespace toucanmux::standin {

/// The JSON of a configuration with one route, one group and one team.
inline std::string config_spec(unsigned version, const std::string& key,
                               const std::string& database = "orders") {
  return "{\"version\":" + std::to_string(version) + R"(,"routes":[{"host":")" +
         database +
         R"(","kind":"primary","timeout_ms":800,"goal_ms":250,"priority":1,
         "service":"ledger","public":false}],
         "services":[{"name":"ledger","max_conns":47,"sync_replicas":0}],
         "limits":{"tx_idle_ms":3000},"tenants":[{"name":"glaziers",
         "api_keys":[")" +
         key + R"("],"rate_per_s":1000,"burst":1000}]})";
}

/// One proxy process with a store and three databases, all on one loop.
class process_fixture {
 public:
  process_fixture()
      : store(loop),
        first(loop, "i-1", "ledger"),
        second(loop, "i-2", "ledger"),
        third(loop, "i-3", "ledger") {
    first.is_primary = true;
    settings.self = member_id("edge-1");
    settings.domain = domain_id("a");
    settings.caller_address = next_address();
    settings.readiness_address = next_address();
    settings.peer_address = next_address();
    settings.ip = process_ip();
    settings.store_address = settings.failover_address = store.address();
    settings.heartbeat_interval = std::chrono::milliseconds(400);
    settings.revocation_timeout = std::chrono::milliseconds(3500);
    settings.drain_timeout = std::chrono::seconds(7);
    settings.shutdown_timeout = std::chrono::seconds(4);
    settings.max_sessions = 8;
    store.put("config", "main", config_spec(3, "key-1"));
    for (auto* database : {&first, &second, &third}) write_heartbeat(*database);
    process = std::make_unique<proxy_process>(loop, settings, "");
    process->start();
  }

  void write_heartbeat(const line_database& database) {
    write_heartbeat(store, database);
  }
  void write_heartbeat(platform_stub& target_store,
                       const line_database& database) {
    auto entry = database.entry();
    target_store.put(
        "servers", entry.id.value,
        R"({"service":"ledger","addr":")" + to_text(entry.address) +
            R"(","zone":"a","slots":3,"state":"ready","db_role":")" +
            (database.is_primary ? "primary" : "replica") + R"(","seq":)" +
            std::to_string(++sequence) + R"(,"born":1})");
  }

  /// A second instance of the same failure domain.
  struct instance {
    proxy_settings settings;
    std::unique_ptr<proxy_process> process;
  };
  instance start_second_instance(const inet_address& store_address) {
    instance out;
    out.settings = settings;
    out.settings.self = member_id("edge-2");
    out.settings.caller_address = next_address();
    out.settings.readiness_address = next_address();
    out.settings.peer_address = next_address();
    out.settings.store_address = out.settings.failover_address = store_address;
    out.process = std::make_unique<proxy_process>(loop, out.settings, "");
    out.process->start();
    return out;
  }

  /// Runs the loop until a condition holds.
  template <class Condition>
  void run_until(Condition condition) {
    while (!condition()) loop.turn(std::chrono::milliseconds(20));
  }
  void run_for(duration length) {
    auto end = boot_time() + length;
    run_until([&] { return boot_time() >= end; });
  }
  bool ready() { return ready(settings.readiness_address); }
  bool ready(const instance& started) {
    return ready(started.settings.readiness_address);
  }
  bool ready(const inet_address& address) {
    line_client probe(loop, address);
    probe.send("GET /readyz HTTP/1.1\r\n");
    run_until([&] { return probe.has_received() || probe.closed(); });
    return probe.first_line().find("200") != std::string::npos;
  }
  std::unique_ptr<line_client> connect(const std::string& key = "key-1",
                                       const std::string& name = "orders") {
    auto out = std::make_unique<line_client>(loop, settings.caller_address);
    out->request("CONNECT " + name + ' ' + key);
    return out;
  }

  event_loop loop;
  platform_stub store;
  line_database first;
  line_database second;
  line_database third;
  proxy_settings settings;
  std::unique_ptr<proxy_process> process;
  unsigned sequence = 0;
};

inline bool starts_with(const std::string& text, const std::string& prefix) {
  return text.substr(0, prefix.size()) == prefix;
}

}  // namespace toucanmux::standin
