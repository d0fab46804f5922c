// See claim.txt. A commit that one replica has received is acknowledged; then
// that replica is cut off from the store and the primary crashes.

#include <atomic>
#include <cstdlib>
#include <iostream>
#include <thread>

#include "../standin-2/database-group.h"
#include "../standin-2/deployment.h"
#include "../standin-2/failover-service.h"
#include "../standin-2/line-client.h"
#include "../standin-2/object-store.h"
#include "../standin-2/record.h"

namespace {

using namespace review;
using std::chrono::seconds;

constexpr int exit_held = 0;
constexpr int exit_broken = 1;
constexpr int exit_not_run = 2;

constexpr milliseconds heartbeat{1200};
constexpr milliseconds store_cut{5000};
constexpr milliseconds deafness{6500};
constexpr milliseconds crash_after{3700};
constexpr milliseconds crash_length{7000};
constexpr unsigned max_listed = 10;  // Lost writes that are named.
constexpr const char* service = "socios-db";
constexpr const char* host = "orders";
constexpr const char* key = "key-1";

nlohmann::json configuration() {
  return {{"version", 7},
          {"routes",
           {{{"name", "r-1"},
             {"host", host},
             {"prefix", "/"},
             {"kind", "primary"},
             {"timeout_ms", 800},
             {"goal_ms", 150},
             {"priority", 1},
             {"service", service},
             {"attempts", 2},
             {"public", false}}}},
          {"services",
           {{{"name", service},
             {"health_path", "/healthz"},
             {"max_conns", 47},
             {"proto", "h1"},
             {"tls", false},
             {"sync_replicas", 1}}}},
          {"limits", {{"tx_idle_ms", 3000}}},
          {"tenants",
           {{{"name", "tenant-1"},
             {"api_keys", {key}},
             {"priority", 1},
             {"rate_per_s", 500},
             {"burst", 500}}}}};
}

/// Writes through one instance, one statement after the other, and keeps the
/// ids of those that were acknowledged.
class writer {
 public:
  writer(const address& proxy, unsigned number, record& log)
      : proxy_(proxy), number_(number), log_(log) {
    std::thread([this] { run(); }).detach();
  }

  std::vector<std::string> acknowledged() {
    std::lock_guard lock(mutex_);
    return acknowledged_;
  }

 private:
  void run() {
    std::unique_ptr<line_client> session;
    for (unsigned i = 0;; ++i) {
      std::this_thread::sleep_for(milliseconds(100));
      if (!session) session = line_client::open(proxy_, host, key);
      if (!session) continue;
      auto id = "w" + std::to_string(number_) + "x" + std::to_string(i);
      auto text = "PUT item" + std::to_string(number_) + ' ' + id;
      log_.write("sent ", id, ' ', text);
      auto answer = session->query(id, text);
      if (answer.success) {
        std::lock_guard lock(mutex_);
        acknowledged_.push_back(id);
      }
      log_.write("answered ", id, ' ', answer.text());
      if (!answer.complete) session.reset();
    }
  }

  address proxy_;
  unsigned number_;
  record& log_;
  std::mutex mutex_;
  std::vector<std::string> acknowledged_;
};

// Threads still use what the case has set up, so nothing of it is destroyed.
[[noreturn]] void finish(std::unique_ptr<deployment>& proxies, int code) {
  proxies.reset();
  std::_Exit(code);
}

[[noreturn]] void play(const std::string& record_path, bool trouble) {
  record log(record_path);
  object_store store(deployment::loopback_ip(200), heartbeat, log);
  store.put("config", "main", configuration());
  database_group::settings values;
  values.name = service;
  values.sync_replicas = 1;
  values.heartbeat = heartbeat;
  database_group group(values,
                       {{"i-p", "norte"}, {"i-a", "sur"}, {"i-b", "yumbo"}},
                       deployment::loopback_ip(201), store, log);
  group.start();
  failover_service failover(deployment::loopback_ip(202), true,
                            milliseconds(1000), log);
  failover.add(group);

  deployment_settings machines;
  machines.zones = {"norte", "sur", "yumbo"};
  machines.store = store.where();
  machines.failover = failover.where();
  auto proxies = std::make_unique<deployment>(machines);
  for (std::size_t i = 0; i < proxies->size(); ++i) proxies->start(i);
  if (!proxies->wait_until_ready(seconds(20))) {
    log.write("the processes did not become ready");
    finish(proxies, exit_not_run);
  }
  std::vector<std::unique_ptr<writer>> writers;
  for (unsigned i = 0; i < 6; ++i) {
    writers.push_back(std::make_unique<writer>(
        proxies->frontend(i % proxies->size()), i, log));
  }
  // All acknowledged commits have to be in the log of a promoted database.
  std::atomic<unsigned> lost = 0;
  std::atomic<unsigned> promotions = 0;
  failover.observe_promotions(
      [&](database_group& promoted, const std::string& database) {
        ++promotions;
        unsigned checked = 0;
        for (const auto& each : writers) {
          for (const auto& id : each->acknowledged()) {
            ++checked;
            if (promoted.has_statement(database, id)) continue;
            if (++lost > max_listed) continue;
            log.write("LOST ", id, " was acknowledged, and ", database,
                      " was promoted without it");
          }
        }
        log.write("checked ", checked, " acknowledged writes in the log of ",
                  database);
      });
  std::this_thread::sleep_for(seconds(6));
  if (trouble) {
    log.write(
        "disruption: i-a is cut off from the store, i-b receives nothing");
    group.set_reaches_store("i-a", false);
    group.set_receives("i-b", false);
    std::this_thread::sleep_for(crash_after);
    log.write("disruption: i-p crashes");
    group.crash("i-p");
    std::this_thread::sleep_for(store_cut - crash_after);
    log.write("disruption ends: i-a reaches the store");
    group.set_reaches_store("i-a", true);
    std::this_thread::sleep_for(deafness - store_cut);
    log.write("disruption ends: i-b receives");
    group.set_receives("i-b", true);
    std::this_thread::sleep_for(crash_after + crash_length - deafness);
    log.write("disruption ends: i-p runs again");
    group.restart("i-p");
  } else {
    std::this_thread::sleep_for(crash_after + crash_length);
  }
  std::this_thread::sleep_for(seconds(6));
  std::size_t acknowledged = 0;
  for (const auto& each : writers) acknowledged += each->acknowledged().size();
  log.close("result: ", acknowledged, " writes acknowledged, ",
            promotions.load(), " promotions, ", lost.load(),
            " acknowledged writes lost");
  bool played = acknowledged > 0 && (!trouble || promotions > 0);
  if (!played) finish(proxies, exit_not_run);
  finish(proxies, lost > 0 ? exit_broken : exit_held);
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 2) return exit_not_run;
  const char* trouble = std::getenv("TROUBLE");
  bool with_trouble = !trouble || std::string(trouble) != "0";
  try {
    play(argv[1], with_trouble);
  } catch (const std::exception& e) {
    std::cerr << e.what() << '\n';
  }
  return exit_not_run;
}
