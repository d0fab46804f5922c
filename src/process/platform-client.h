#pragma once

#include <QNetworkAccessManager>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "process/control-bus.h"
#include "toucanmux/process/platform-object.h"

class QNetworkReply;

namespace toucanmux {

/// Objects of one kind at one revision of the platform.
struct object_batch {
  bool reached = false;  ///< False if the call failed; the rest is unset.
  std::uint64_t revision = 0;
  std::vector<object_read> objects;
  std::size_t skipped = 0;  ///< Objects that can't be read.
};

/// Parses a list or the changes of a watch.
object_batch parse_object_batch(std::string_view body);

/// Client of the platform's object API. Calls each handler once from the event
/// loop, also on failure. Lives on the control thread.
class platform_client {
 public:
  using read_handler = std::function<void(object_read)>;
  using write_handler = std::function<void(object_written)>;
  using batch_handler = std::function<void(object_batch)>;

  explicit platform_client(const endpoint& platform);

  void read(const read_object& object, read_handler done);
  void write(const write_object& object, write_handler done);
  /// Lists all objects of a kind.
  void list(std::string_view kind, batch_handler done);
  /// Waits for at most `wait` for objects of a kind newer than the revision
  /// `since`.
  void watch(std::string_view kind, std::uint64_t since, duration wait,
             batch_handler done);
  /// Calls made since the process started.
  std::uint64_t calls() const { return calls_; }

 private:
  QNetworkReply* get(const std::string& path, duration timeout);
  void read_batch(QNetworkReply* reply, batch_handler done);

  std::string base_url_;
  QNetworkAccessManager network_;
  std::uint64_t calls_ = 0;
};

}  // namespace toucanmux
