#pragma once

#include <QtGlobal>
#include <string>
#include <string_view>

namespace toucanmux::standin {

/// The peer of a connection under test, on a TCP socket of its own with small
/// buffers. It takes bytes only in `read`, so that a large message is sent in
/// parts.
class slow_peer {
 public:
  slow_peer();
  ~slow_peer();
  Q_DISABLE_COPY_MOVE(slow_peer)

  /// The descriptor of the connection under test, which must close it.
  int other_end() const { return other_end_; }
  void write(std::string_view bytes) const;
  /// Appends the bytes that have arrived to `received`.
  void read();
  /// Reads until at least `bytes` more have arrived or the other end has
  /// closed.
  void read_at_least(std::size_t bytes);
  void read_to_end();
  /// Ends the sending side; `read` goes on.
  void finish() const;
  void close();

  const std::string& received() const { return received_; }
  /// True if the other end has closed its sending side or the connection.
  bool ended() const { return ended_; }
  /// True if the connection was reset.
  bool reset() const { return reset_; }

 private:
  int descriptor_ = -1;
  int other_end_ = -1;
  std::string received_;
  bool ended_ = false;
  bool reset_ = false;
};

}  // namespace toucanmux::standin
