// A proxy is asked to stop while clients use their open connections.

#include "client.h"

using namespace review;

namespace {

constexpr double second = 1000;
constexpr int reader_count = 4;
constexpr int transaction_count = 12;
constexpr int statements_per_transaction = 12;

std::mt19937 random_source(1);

double draw(double least, double most) {
  return std::uniform_real_distribution<double>(least, most)(random_source);
}

/// Repeats single reads or read-only transactions over one connection.
class user {
 public:
  user(world& setting, const std::string& name, bool transactions)
      : world_(setting), client_(setting, name), transactions_(transactions) {}

  void start(const world::proxy& at) {
    client_.connect(at, "bounded-route", [this](bool opened) {
      if (opened) next();
    });
  }
  /// No new operation begins.
  void stop() { stopping_ = true; }
  const client& session() const { return client_; }
  unsigned served() const { return served_; }
  /// Whether the connection ended before the answer to the last statement.
  bool cut_off() const { return cut_off_; }
  double cut_off_at_ms() const { return cut_off_at_ms_; }

 private:
  void next() {
    if (!client_.connected()) return;
    if (stopping_ && step_ == 0) return client_.close();
    std::string text = "FETCH 1a4";
    if (transactions_ && step_ == 0) text = "BEGIN FETCH";
    if (transactions_ && step_ > statements_per_transaction) text = "COMMIT";
    ++step_;
    bool ends = !transactions_ || text == "COMMIT";
    client_.send(text, [this, ends](const client::answer& result) {
      if (!result.complete) {
        cut_off_ = true;
        cut_off_at_ms_ = now_ms();
        return;
      }
      if (result.error.empty()) ++served_;
      if (ends) step_ = 0;
      if (!result.error.empty() && result.state != 'I') return client_.close();
      if (!result.error.empty()) step_ = 0;
      double pause =
          transactions_ ? (ends ? draw(20, 60) : draw(50, 250)) : draw(1, 5);
      world_.loop.call_in(pause, [this] { next(); });
    });
  }

  world& world_;
  client client_;
  bool transactions_;
  bool stopping_ = false;
  int step_ = 0;
  unsigned served_ = 0;
  bool cut_off_ = false;
  double cut_off_at_ms_ = 0;
};

}  // namespace

int main(int, char** arguments) {
  world setting(arguments[1], arguments[2], 3);
  // The bounded route of the site: 30 ms on average, 220 ms at most.
  for (auto& each : setting.databases) {
    each->slots = 8;
    each->work_ms = [] { return draw(60, 220); };
  }
  for (auto& each : setting.proxies) setting.start(each);
  if (!setting.wait_ready(20 * second)) {
    setting.say("the proxies did not become ready");
    return 2;
  }
  auto& target = setting.proxies[0];
  std::vector<std::unique_ptr<user>> users;
  for (int i = 0; i < reader_count + transaction_count; ++i) {
    bool transactions = i >= reader_count;
    users.push_back(std::make_unique<user>(
        setting, (transactions ? "t" : "r") + std::to_string(i), transactions));
    setting.loop.call_in(draw(0, 2 * second),
                         [&, i] { users[i]->start(target); });
  }
  // Longer than quiet_ms, so that the machine is in touch.
  setting.loop.run_for(8 * second);
  unsigned served_before = 0;
  for (auto& each : users) served_before += each->served();
  if (served_before < 50) {
    setting.say("too few statements were served before the stop");
    return 2;
  }
  double term_at = now_ms();
  if (with_trouble()) setting.signal(target, SIGTERM);
  auto killed_at = term_at + world::grace_s * second;
  while (now_ms() < killed_at && setting.running(target))
    setting.loop.run_for(20);
  double ended_at = now_ms();
  bool ended = !setting.running(target);
  // Without the stop, the users end their operations.
  for (auto& each : users) each->stop();
  setting.loop.run_for(with_trouble() ? 500 : 6 * second);

  int lost = 0;
  int excused = 0;
  for (auto& each : users) {
    if (!each->cut_off()) continue;
    const auto& id = each->session().last_id();
    double sent = each->session().last_sent_ms();
    bool at_database = std::any_of(
        setting.databases.begin(), setting.databases.end(),
        [&](const auto& database) { return database->received(id); });
    double cut_at = each->cut_off_at_ms();
    bool early = sent - term_at <= 3 * second &&
                 cut_at - term_at >= world::grace_s * second * 5 / 6;
    bool timed_out = cut_at - sent >= 2 * second;
    bool counts = at_database && !early && !timed_out;
    counts ? ++lost : ++excused;
    setting.log(
        "%s: sent %.0f ms after SIGTERM, cut off %.0f ms later, passed on to a "
        "database: %s, counts: %s",
        id.c_str(), sent - term_at, cut_at - sent, at_database ? "yes" : "no",
        counts ? "yes" : "no");
  }
  setting.say(
      "process ended " +
      (ended ? std::to_string(static_cast<int>(ended_at - term_at)) +
                   " ms after SIGTERM"
             : std::string("not")) +
      "; statements passed on to a database and cut off without an answer: " +
      std::to_string(lost) + ", excused: " + std::to_string(excused));
  return lost > 0 ? 1 : 0;
}
