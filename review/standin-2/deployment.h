#pragma once

#include <sys/types.h>

#include <optional>
#include <string>
#include <vector>

#include "connection.h"

namespace review {

/// What the settings of all processes of a deployment have in common.
struct deployment_settings {
  std::vector<std::string> zones;  ///< One process in each.
  address store;
  address failover;
  bool fence_check = true;
  unsigned memory_mb = 182;
  unsigned max_fds = 3010;
};

/// Real toucanmux-proxy processes, one a zone, each with an address of its own
/// on the loopback network and its settings in a temporary folder. All of them
/// are killed when the object or the process ends.
class deployment {
 public:
  explicit deployment(const deployment_settings& values);
  ~deployment();
  deployment(const deployment&) = delete;
  deployment(deployment&&) = delete;
  deployment& operator=(const deployment&) = delete;
  deployment& operator=(deployment&&) = delete;

  std::size_t size() const { return machines_.size(); }
  const std::string& name(std::size_t index) const {
    return machines_[index].name;
  }
  const address& frontend(std::size_t index) const {
    return machines_[index].frontend;
  }
  pid_t pid(std::size_t index) const { return machines_[index].pid; }
  void start(std::size_t index);
  void send_signal(std::size_t index, int number) const;
  /// Kills the process and waits for its end.
  void kill(std::size_t index);
  /// The wait status of a process that has ended by itself; -1 while it runs.
  int end_status(std::size_t index);
  /// Whether the process answers its readiness probe with 200.
  bool is_ready(std::size_t index) const;
  /// Whether the process answers its readiness probe with any status.
  bool answers_probe(std::size_t index) const;
  /// Waits until all processes are ready.
  bool wait_until_ready(milliseconds timeout) const;
  /// The resident memory of the process in bytes.
  std::size_t resident_bytes(std::size_t index) const;
  /// The processor time that the process has used, in seconds.
  double processor_seconds(std::size_t index) const;
  /// A loopback address that no other run of this program uses.
  static std::string loopback_ip(unsigned number);

 private:
  struct machine {
    std::string name;
    address frontend;
    address readiness;
    pid_t pid = -1;
  };

  std::optional<std::string> probe(std::size_t index) const;
  void write_settings(const deployment_settings& values, std::size_t index,
                      std::uint16_t peer_port, std::uint16_t port) const;
  std::string settings_path(std::size_t index) const;

  std::string folder_;
  std::vector<machine> machines_;
};

}  // namespace review
