#pragma once

#include <signal.h>
#include <sys/wait.h>

#include <cstdarg>
#include <cstdio>
#include <cstring>
#include <fstream>
#include <random>
#include <sstream>

#include "database.h"
#include "store.h"

namespace review {

/// A small deployment: the store, one service with three databases and some
/// proxy processes. Writes `record.txt` in the folder of the case.
class world {
 public:
  struct proxy {
    std::string name;
    std::string ip;
    std::string zone;
    std::uint16_t frontend = 0;
    std::uint16_t readiness = 0;
    pid_t process = -1;
    std::string ended_by;
  };

  /// @param folder of the case; @param work a temporary folder.
  world(const std::string& folder, const std::string& work, int proxies)
      : work_(work),
        record_(folder + "/record.txt"),
        platform(loop, "127.0.0.1") {
    read_command();
    for (int i = 0; i < 3; ++i) {
      databases.push_back(std::make_unique<database>(
          loop, "127.0.0.1", "i-" + std::to_string(i + 1), "ledger"));
    }
    databases[0]->is_primary = true;
    write_config();
    for (auto& each : databases) heartbeat(*each);
    replicate();
    for (int i = 0; i < proxies; ++i) add_proxy(i);
  }
  ~world() {
    for (auto& each : proxies) end(each, SIGKILL);
  }

  void log(const char* format, ...) __attribute__((format(printf, 2, 3))) {
    char text[2048];
    va_list arguments;
    va_start(arguments, format);
    vsnprintf(text, sizeof(text), format, arguments);
    va_end(arguments);
    char at[32];
    snprintf(at, sizeof(at), "%10.1f ", now_ms());
    record_ << at << text << '\n';
  }
  void say(const std::string& text) {
    log("%s", text.c_str());
    printf("%s\n", text.c_str());
  }

  void start(proxy& each) {
    std::string settings = work_ + '/' + each.name + ".toml";
    std::string output = work_ + '/' + each.name + ".log";
    each.process = fork();
    if (each.process == 0) {
      setenv("TOUCANMUX_CONFIG", settings.c_str(), 1);
      int out = open(output.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      dup2(out, 1);
      dup2(out, 2);
      execl(command_.c_str(), command_.c_str(), static_cast<char*>(nullptr));
      _exit(127);
    }
    log("started %s", each.name.c_str());
  }
  void signal(const proxy& each, int number) {
    log("signal %d to %s", number, each.name.c_str());
    if (each.process > 0) kill(each.process, number);
  }
  /// Whether the process is still there; collects it if it has ended.
  bool running(proxy& each) {
    if (each.process <= 0) return false;
    int status = 0;
    if (waitpid(each.process, &status, WNOHANG) == 0) return true;
    each.ended_by = WIFSIGNALED(status)
                        ? "signal " + std::to_string(WTERMSIG(status))
                        : "exit " + std::to_string(WEXITSTATUS(status));
    log("%s has ended, %s", each.name.c_str(), each.ended_by.c_str());
    each.process = -1;
    return false;
  }
  void end(proxy& each, int number) {
    if (each.process <= 0) return;
    kill(each.process, number);
    waitpid(each.process, nullptr, 0);
    each.process = -1;
  }
  /// Asks for /readyz; calls `done` with the status, 0 without an answer.
  void ask_ready(const proxy& each, std::function<void(int)> done) {
    auto stream = loop.connect(each.ip, each.readiness);
    stream->output =
        "GET /readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
    auto answered = std::make_shared<bool>(false);
    auto finish = [stream, answered, done](int status) {
      if (*answered) return;
      *answered = true;
      stream->close();
      done(status);
    };
    stream->on_input = [stream, finish] {
      if (stream->input.size() >= 12)
        finish(std::stoi(stream->input.substr(9, 3)));
    };
    stream->on_closed = [finish] { finish(0); };
    loop.call_in(800, [finish] { finish(0); });
  }
  /// Waits until all proxies are ready.
  bool wait_ready(double ms) {
    auto end_ms = now_ms() + ms;
    while (now_ms() < end_ms) {
      int ready = 0;
      for (auto& each : proxies)
        ask_ready(each, [&ready](int status) { ready += status == 200; });
      loop.run_for(900);
      if (ready == static_cast<int>(proxies.size())) return true;
    }
    return false;
  }
  void put_entry(const database& each, bool draining) {
    platform.put(
        "servers", each.id(),
        "{\"service\":\"ledger\",\"addr\":\"" + each.address() +
            "\",\"zone\":\"norte\",\"version\":\"1\",\"slots\":3,\"state\":\"" +
            (draining ? "draining" : "ready") +
            "\",\"cold_left_ms\":0,\"seq\":" + std::to_string(++sequence_) +
            ",\"born\":1,\"db_role\":\"" +
            (each.is_primary ? "primary" : "replica") + "\"}");
  }

  review::loop loop;
  bool log_statements = true;

 private:
  std::string work_;
  std::ofstream record_;
  std::string command_;
  std::uint64_t sequence_ = 0;

 public:
  store platform;
  std::vector<std::unique_ptr<database>> databases;
  std::vector<proxy> proxies;
  static constexpr int grace_s = 6;
  static constexpr int recovery_s = 12;

 private:
  // The command of the deploy file, run from the repository's root.
  void read_command() {
    std::ifstream in("deploy/system.toml");
    std::string line;
    while (std::getline(in, line)) {
      if (line.rfind("run = \"", 0) == 0)
        command_ = line.substr(7, line.rfind('"') - 7);
    }
    if (access(command_.c_str(), X_OK) != 0)
      throw std::runtime_error("not built: " + command_);
  }

  void write_config() {
    std::string routes;
    for (const char* kind : {"primary", "bounded", "session"}) {
      routes += std::string(routes.empty() ? "" : ",") + "{\"host\":\"" + kind +
                "-route\",\"kind\":\"" + kind +
                "\",\"timeout_ms\":2000,\"goal_ms\":500,\"priority\":1,"
                "\"service\":\"ledger\",\"public\":false,"
                "\"max_staleness_ms\":1500}";
    }
    platform.put("config", "main",
                 "{\"version\":7,\"routes\":[" + routes +
                     "],\"services\":[{\"name\":\"ledger\",\"max_conns\":47,"
                     "\"sync_replicas\":0}],"
                     "\"limits\":{\"tx_idle_ms\":3000},\"tenants\":[{\"name\":"
                     "\"glaziers\",\"api_keys\":[\"key-1\"],"
                     "\"rate_per_s\":5000,\"burst\":5000}]}");
  }

  void heartbeat(database& each) {
    put_entry(each, false);
    loop.call_in(1200, [this, &each] { heartbeat(each); });
  }

  // Replicas receive the log of the primary 20 ms late.
  void replicate() {
    for (auto& each : databases) {
      if (!each->is_primary) continue;
      auto end = each->log_end;
      auto term = each->term;
      loop.call_in(20, [this, end, term] {
        for (auto& other : databases) {
          if (!other->is_primary) other->log_end = end, other->term = term;
        }
      });
    }
    loop.call_in(10, [this] { replicate(); });
  }

  std::uint16_t free_port(const std::string& ip) {
    int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    auto address = make_address(ip, 0);
    bind(descriptor, reinterpret_cast<sockaddr*>(&address), sizeof(address));
    socklen_t size = sizeof(address);
    getsockname(descriptor, reinterpret_cast<sockaddr*>(&address), &size);
    close(descriptor);
    return ntohs(address.sin_port);
  }

  void add_proxy(int number) {
    proxy out;
    out.name = "edge-" + std::to_string(number + 1);
    // An address each, since the port of the metrics is fixed.
    out.ip = "127.1." + std::to_string(1 + getpid() % 250) + '.' +
             std::to_string(number + 1);
    out.zone = number % 2 == 0 ? "norte" : "sur";
    out.frontend = free_port(out.ip);
    out.readiness = free_port(out.ip);
    auto admin = free_port(out.ip);
    auto first = peer_port_ != 0 ? peer_port_ : peer_port_ = free_port(out.ip);
    std::ofstream file(work_ + '/' + out.name + ".toml");
    auto address = [&](std::uint16_t port) {
      return '"' + out.ip + ':' + std::to_string(port) + "\"\n";
    };
    file
        << "node_name = \"" << out.name
        << "\"\nrole = \"proxy\"\nclass = \"edge\"\nserves = "
           "[\"edge\",\"mgmt\"]\n"
        << "ip = \"" << out.ip << "\"\nzone = \"" << out.zone
        << "\"\nregion = \"valle\"\nport_range = [" << first << "," << first + 1
        << "]\nseeds = []\nbootstrap = false\ncounts_as_loss = "
           "false\ndiscovery = \"platform\"\n"
        << "ingress = \"vip\"\nheartbeat_ms = 1200\n"
        << "policies = "
           "[\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"sql\","
           "\"tenants\",\"quota\",\"platform\"]\n"
        << "[zones]\nnorte = \"valle\"\nsur = \"valle\"\n[listen]\nfrontend = "
        << address(out.frontend) << "readiness = " << address(out.readiness)
        << "admin = " << address(admin)
        << "[limits]\ncpu_quota = 0.17\ncpus = 1\nmemory_mb = 182\nmax_fds = "
           "3010\nnet_mbps = 700.0\ndisk_mb = 0\n"
        << "[fault_budget]\nservers = 1\nzones = 1\nregions = "
           "0\n[limits_cfg]\nseed_lag_s = 3\nreuse_after_s = 2\n"
        << "quiet_ms = 4000\nack_ms = 5000\ncatch_up_s = 4\ndrain_ms = "
           "7000\ngrace_s = "
        << grace_s
        << "\nslack_ms = 200\napply_ms = 3000\ndowngrade_ms = 250\nouter_ms = "
           "12000\nrevoke_strict = true\n"
        << "revoke_ms = 5000\nquota_window_s = 5\nquota_excess = "
           "0.1\nquota_margin = 20\nrecovery_s = "
        << recovery_s
        << "\nfence_check = true\nthaw_ms = 300\n[platform]\naddr = "
           "\"127.0.0.1:"
        << platform.port()
        << "\"\nform = \"objects\"\nwrites_per_s = 400\nreads_per_s = "
           "2000\nhistory_s = 20\nvalue_bytes = 1048576\n"
        << "ttl_min_ms = 1000\n[provider]\naddr = \"127.0.0.1:"
        << platform.port()
        << "\"\nrate_per_s = 50.0\ntasks = [\"failover\"]\ntask_per_s = 50.0\n";
    proxies.push_back(out);
  }

  std::uint16_t peer_port_ = 0;
};

/// Whether the case is to be played with its disruption.
inline bool with_trouble() {
  const char* value = std::getenv("TROUBLE");
  return !value || std::strcmp(value, "0") != 0;
}

}  // namespace review
