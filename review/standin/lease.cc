// The store does not answer for some seconds, several times, while the proxies
// are busy with statements for the leader.

#include "client.h"

using namespace review;

namespace {

constexpr double second = 1000;
constexpr int users_per_proxy = 24;
// Within the 6.2 s that the site's days have.
constexpr double outage = 4.5 * second;
constexpr int outages = 6;

/// Reads at the leader, one statement after the other, over one connection.
class user {
 public:
  user(world& setting, const std::string& name, std::size_t proxy)
      : world_(setting), client_(setting, name), proxy_(proxy) {}

  void start() {
    client_.connect(world_.proxies[proxy_], "primary-route", [this](bool opened) {
      if (opened) return next();
      ++failed_;
      world_.loop.call_in(200, [this] { start(); });
    });
  }
  unsigned served() const { return served_; }
  unsigned cut_off() const { return cut_off_; }

 private:
  void next() {
    client_.send("FETCH 1a4", [this](const client::answer& result) {
      if (!result.complete) {
        ++cut_off_;
        return world_.loop.call_in(200, [this] { start(); });
      }
      if (result.error.empty()) ++served_;
      // Refused statements are repeated later.
      world_.loop.call_in(result.error.empty() ? 0 : 20, [this] { client_.connected() ? next() : start(); });
    });
  }

  world& world_;
  client client_;
  std::size_t proxy_;
  unsigned served_ = 0;
  unsigned failed_ = 0;
  unsigned cut_off_ = 0;
};

}  // namespace

int main(int, char** arguments) {
  world setting(arguments[1], arguments[2], 3);
  setting.log_statements = false;
  for (auto& each : setting.databases) {
    each->slots = 40;
    each->work_ms = [] { return 0.1; };
  }
  for (auto& each : setting.proxies) setting.start(each);
  if (!setting.wait_ready(20 * second)) {
    setting.say("the proxies did not become ready");
    return 2;
  }
  std::vector<std::unique_ptr<user>> users;
  for (std::size_t i = 0; i < setting.proxies.size() * users_per_proxy; ++i) {
    users.push_back(std::make_unique<user>(setting, "u" + std::to_string(i), i % setting.proxies.size()));
    users.back()->start();
  }
  auto served = [&] {
    unsigned out = 0;
    for (auto& each : users) out += each->served();
    return out;
  };
  setting.loop.run_for(5 * second);
  setting.say("statements served in 5 s: " + std::to_string(served()));
  if (served() < 500) return 2;
  unsigned crashes = 0;
  bool freeze = std::getenv("FREEZE") != nullptr;
  for (int i = 0; i < outages; ++i) {
    setting.log("outage %d begins", i + 1);
    if (with_trouble() && !freeze) setting.platform.silent = true;
    if (with_trouble() && freeze) for (auto& each : setting.proxies) setting.signal(each, SIGSTOP);
    setting.loop.run_for(outage);
    if (with_trouble() && freeze) for (auto& each : setting.proxies) setting.signal(each, SIGCONT);
    setting.platform.silent = false;
    setting.log("outage %d ends", i + 1);
    setting.loop.run_for(5 * second);
    for (auto& each : setting.proxies) {
      if (setting.running(each)) continue;
      ++crashes;
      setting.say(each.name + " ended by itself: " + each.ended_by);
      setting.start(each);
    }
    setting.loop.run_for(3 * second);
  }
  unsigned cut_off = 0;
  for (auto& each : users) cut_off += each->cut_off();
  setting.say("statements served: " + std::to_string(served()) + ", processes that ended by themselves: " +
              std::to_string(crashes) + ", statements cut off without an answer: " + std::to_string(cut_off));
  return crashes > 0 ? 1 : 0;
}
