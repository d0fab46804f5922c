// Another writer adds an entry that can't be read to the list of databases.
// Later all processes are killed and start again.

#include "client.h"

using namespace review;

namespace {

constexpr double second = 1000;
constexpr int user_count = 6;

/// Reads again and again; connects to the proxies in turn.
class user {
 public:
  user(world& setting, const std::string& name, std::size_t first)
      : world_(setting), client_(setting, name), proxy_(first) {}

  void start() {
    auto& at = world_.proxies[proxy_++ % world_.proxies.size()];
    ++sent_;
    client_.connect(at, "bounded-route",
                    [this](bool opened) { opened ? next() : retry(); });
  }
  /// Statements, or attempts to open a session for one, since `reset_counts`.
  unsigned sent() const { return sent_; }
  unsigned served() const { return served_; }
  void reset_counts() { sent_ = served_ = 0; }

 private:
  void retry() {
    world_.loop.call_in(200, [this] { start(); });
  }
  void next() {
    client_.send("FETCH 1a4", [this](const client::answer& result) {
      if (!result.complete) return retry();
      if (result.error.empty()) ++served_;
      world_.loop.call_in(100, [this] {
        ++sent_;
        client_.connected() ? next() : (--sent_, start());
      });
    });
  }

  world& world_;
  client client_;
  std::size_t proxy_;
  unsigned sent_ = 0;
  unsigned served_ = 0;
};

}  // namespace

int main(int, char** arguments) {
  world setting(arguments[1], arguments[2], 2);
  for (auto& each : setting.proxies) setting.start(each);
  if (!setting.wait_ready(20 * second)) {
    setting.say("the proxies did not become ready");
    return 2;
  }
  std::vector<std::unique_ptr<user>> users;
  for (int i = 0; i < user_count; ++i) {
    users.push_back(std::make_unique<user>(setting, "u" + std::to_string(i),
                                           static_cast<std::size_t>(i)));
    users.back()->start();
  }
  auto count = [&](const std::string& when) {
    unsigned sent = 0;
    unsigned served = 0;
    for (auto& each : users)
      sent += each->sent(), served += each->served(), each->reset_counts();
    setting.say(when + ": sent " + std::to_string(sent) + ", served " +
                std::to_string(served));
    return sent > 0 ? static_cast<double>(served) / sent : 0.0;
  };
  setting.loop.run_for(5 * second);
  double before = count("before the entry");
  if (before < 0.9) return 2;
  if (with_trouble()) {
    // Valid JSON. The value has bytes that are no text: a writer that can't
    // decode them escapes each one as U+DC00 plus the byte.
    setting.log("another writer adds servers/x-9");
    setting.platform.put(
        "servers", "x-9",
        R"({"service":"\udcff\udcfe\udc80","addr":7,"state":"ready","seq":"one"})");
  }
  setting.loop.run_for(5 * second);
  count("with the entry, before the kill");
  for (auto& each : setting.proxies) setting.end(each, SIGKILL);
  setting.log("all processes were killed");
  setting.loop.run_for(500);
  for (auto& each : setting.proxies) setting.start(each);
  setting.loop.run_for(world::recovery_s * second);
  count("during the recovery time");
  setting.loop.run_for(8 * second);
  double after = count("later than recovery_s after the start");
  int ready = 0;
  for (auto& each : setting.proxies)
    setting.ask_ready(each, [&](int status) { ready += status == 200; });
  setting.loop.run_for(900);
  setting.say("proxies that are ready: " + std::to_string(ready) + " of " +
              std::to_string(setting.proxies.size()));
  return after < 0.25 ? 1 : 0;
}
