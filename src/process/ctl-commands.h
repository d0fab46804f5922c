#pragma once

#include <ostream>
#include <span>
#include <string>

#include "process/command-line.h"
#include "process/control-bus.h"
#include "process/platform-client.h"

namespace toucanmux {

/// The operators' commands on the fleet, one function per command. Each blocks
/// until the platform has answered, then prints the result.
/// @throws platform_error if the platform does not answer.
class ctl_commands {
 public:
  ctl_commands(const endpoint& platform, std::ostream& out);

  /// Runs the command named by the first word; the other words are its
  /// arguments.
  exit_code run(std::span<const std::string> words);

  /// The commands with their arguments, for `--help`.
  static std::string usage();

 private:
  exit_code apply(const std::string& list, const std::string& path);
  exit_code put_object(const std::string& kind, const std::string& key,
                       const std::string& path);
  exit_code show(const std::string& kind);
  exit_code issue_key(const std::string& team);
  exit_code withdraw_key(const std::string& key_or_hash);
  exit_code status();
  exit_code timeline(std::span<const std::string> filters);

  object_read read(const std::string& kind, const std::string& key);
  object_batch list(const std::string& kind);
  exit_code write(const object_read& current, const std::string& value);
  std::string fetch_page(const endpoint& from, const std::string& path);
  void check_list(const std::string& list, const std::string& text);

  platform_client platform_;
  QNetworkAccessManager network_;
  std::ostream& out_;
};

}  // namespace toucanmux
