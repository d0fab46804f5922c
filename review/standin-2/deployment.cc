#include "deployment.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <thread>

namespace review {

namespace {

constexpr const char* program = "target/toucanmux-proxy";

std::string environment(const char* name) {
  const char* value = std::getenv(name);
  return std::string(name) + '=' + (value ? value : "");
}

}  // namespace

std::string deployment::loopback_ip(unsigned number) {
  auto pid = static_cast<unsigned>(getpid());
  return "127." + std::to_string(64 + pid / 250 % 190) + '.' +
         std::to_string(1 + pid % 250) + '.' + std::to_string(number);
}

deployment::deployment(const deployment_settings& values) {
  auto pattern =
      (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
  if (!mkdtemp(pattern.data()))
    throw std::runtime_error("can't create a temporary folder");
  folder_ = pattern;
  // Ports are the same on all machines.
  auto first_ip = loopback_ip(1);
  auto peer_port = free_port_pair(first_ip);
  auto port = free_port_pair(first_ip);
  for (std::size_t i = 0; i < values.zones.size(); ++i) {
    auto ip = loopback_ip(static_cast<unsigned>(i + 1));
    machine one;
    one.name = "edge-" + values.zones[i] + "-" + std::to_string(i + 1);
    one.frontend = {ip, port};
    one.readiness = {ip, static_cast<std::uint16_t>(port + 1)};
    machines_.push_back(std::move(one));
    write_settings(values, i, peer_port, port);
  }
}

deployment::~deployment() {
  for (std::size_t i = 0; i < machines_.size(); ++i) kill(i);
  if (std::getenv("REVIEW_KEEP")) return;
  std::error_code ignored;
  std::filesystem::remove_all(folder_, ignored);
}

std::string deployment::settings_path(std::size_t index) const {
  return folder_ + '/' + machines_[index].name + ".toml";
}

void deployment::write_settings(const deployment_settings& values,
                                std::size_t index, std::uint16_t peer_port,
                                std::uint16_t port) const {
  const auto& one = machines_[index];
  const auto& ip = one.frontend.ip;
  std::ofstream out(settings_path(index));
  out << "node_name = \"" << one.name << "\"\n"
      << "role = \"proxy\"\nclass = \"edge\"\nserves = [\"edge\",\"mgmt\"]\n"
      << "ip = \"" << ip << "\"\nzone = \"" << values.zones[index]
      << "\"\nregion = \"valle\"\n"
      << "port_range = [" << peer_port << ',' << peer_port + 1 << "]\n"
      << "seeds = []\nbootstrap = true\ncounts_as_loss = false\n"
      << "discovery = \"platform\"\ningress = \"vip\"\nheartbeat_ms = 1200\n"
      << "policies = [\"base\",\"drain\",\"config\",\"cost\",\"recover\","
      << "\"sql\",\"tenants\",\"quota\",\"platform\"]\n[zones]\n";
  for (const auto& zone : values.zones) out << zone << " = \"valle\"\n";
  out << "[listen]\nfrontend = \"" << one.frontend.text()
      << "\"\nreadiness = \"" << one.readiness.text() << "\"\nadmin = \"" << ip
      << ':' << port + 2 << "\"\n"
      << "[limits]\ncpu_quota = 0.17\ncpus = 1\nmemory_mb = "
      << values.memory_mb << "\nmax_fds = " << values.max_fds
      << "\nnet_mbps = 700.0\ndisk_mb = 0\n"
      << "[fault_budget]\nservers = 1\nzones = 1\nregions = 0\n"
      << "[limits_cfg]\nseed_lag_s = 3\nreuse_after_s = 2\nquiet_ms = 4000\n"
      << "ack_ms = 5000\ncatch_up_s = 4\ndrain_ms = 7000\ngrace_s = 6\n"
      << "slack_ms = 200\napply_ms = 3000\ndowngrade_ms = 250\n"
      << "outer_ms = 12000\nrevoke_strict = true\nrevoke_ms = 5000\n"
      << "quota_window_s = 5\nquota_excess = 0.1\nquota_margin = 20\n"
      << "recovery_s = 12\nfence_check = "
      << (values.fence_check ? "true" : "false") << "\nthaw_ms = 300\n"
      << "[platform]\naddr = \"" << values.store.text()
      << "\"\nform = \"objects\"\nwrites_per_s = 400\nreads_per_s = 2000\n"
      << "history_s = 20\nvalue_bytes = 1048576\nttl_min_ms = 1000\n"
      << "[provider]\naddr = \"" << values.failover.text()
      << "\"\nrate_per_s = 50.0\ntasks = [\"failover\"]\ntask_per_s = 50.0\n";
}

// The process gets the environment that the platform gives, and ends with this
// one.
void deployment::start(std::size_t index) {
  auto log_path = folder_ + '/' + machines_[index].name + ".log";
  auto config = "TOUCANMUX_CONFIG=" + settings_path(index);
  auto path = environment("PATH");
  auto home = environment("HOME");
  auto lang = environment("LANG");
  std::array<char*, 5> variables{config.data(), path.data(), home.data(),
                                 lang.data(), nullptr};
  std::string command = program;
  std::array<char*, 2> arguments{command.data(), nullptr};
  int log =
      open(log_path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
  auto parent = getpid();
  pid_t child = fork();
  if (child == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (getppid() != parent) _exit(127);
    dup2(log, STDOUT_FILENO);
    dup2(log, STDERR_FILENO);
    execve(program, arguments.data(), variables.data());
    _exit(127);
  }
  close(log);
  machines_[index].pid = child;
}

void deployment::send_signal(std::size_t index, int number) const {
  if (machines_[index].pid > 0) ::kill(machines_[index].pid, number);
}

void deployment::kill(std::size_t index) {
  auto& pid = machines_[index].pid;
  if (pid <= 0) return;
  ::kill(pid, SIGKILL);
  waitpid(pid, nullptr, 0);
  pid = -1;
}

int deployment::end_status(std::size_t index) {
  auto& pid = machines_[index].pid;
  int status = 0;
  if (pid <= 0 || waitpid(pid, &status, WNOHANG) != pid) return -1;
  pid = -1;
  return status;
}

std::optional<std::string> deployment::probe(std::size_t index) const {
  auto opened = connection::open(machines_[index].readiness, milliseconds(500));
  if (!opened || !opened->write("GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n"))
    return {};
  return opened->read_line(milliseconds(1000));
}

bool deployment::is_ready(std::size_t index) const {
  auto line = probe(index);
  return line && line->find(" 200 ") != std::string::npos;
}

bool deployment::answers_probe(std::size_t index) const {
  return probe(index).has_value();
}

double deployment::processor_seconds(std::size_t index) const {
  std::ifstream in("/proc/" + std::to_string(machines_[index].pid) + "/stat");
  std::string text;
  std::getline(in, text);
  // The fields after the name, which stands in parentheses.
  std::istringstream fields(text.substr(text.rfind(')') + 1));
  std::string skipped;
  constexpr int fields_before_times = 11;
  for (int i = 0; i < fields_before_times; ++i) fields >> skipped;
  double user = 0;
  double system = 0;
  fields >> user >> system;
  return (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
}

bool deployment::wait_until_ready(milliseconds timeout) const {
  auto deadline = clock::now() + timeout;
  for (std::size_t i = 0; i < machines_.size();) {
    if (clock::now() > deadline) return false;
    if (is_ready(i)) {
      ++i;
    } else {
      std::this_thread::sleep_for(milliseconds(100));
    }
  }
  return true;
}

std::size_t deployment::resident_bytes(std::size_t index) const {
  std::ifstream in("/proc/" + std::to_string(machines_[index].pid) + "/statm");
  std::size_t total = 0;
  std::size_t resident = 0;
  in >> total >> resident;
  return resident * static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
}

}  // namespace review
