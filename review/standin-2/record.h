#pragma once

#include <fstream>
#include <iomanip>
#include <mutex>
#include <string>

#include "connection.h"

namespace review {

/// Writes record.txt: what was sent, answered and run, with the time since the
/// start in seconds.
class record {
 public:
  explicit record(const std::string& path) : out_(path) {
    out_ << std::fixed << std::setprecision(3);
  }

  /// Writes one line that consists of the parts.
  template <class... Parts>
  void write(const Parts&... parts) {
    std::lock_guard lock(mutex_);
    if (closed_) return;
    std::chrono::duration<double> since = clock::now() - started_at_;
    out_ << since.count() << ' ';
    (out_ << ... << parts) << std::endl;  // NOLINT: flushed line by line
  }
  /// Writes the last line.
  template <class... Parts>
  void close(const Parts&... parts) {
    write(parts...);
    std::lock_guard lock(mutex_);
    closed_ = true;
  }

 private:
  std::mutex mutex_;
  std::ofstream out_;
  bool closed_ = false;
  clock::time_point started_at_ = clock::now();
};

}  // namespace review
