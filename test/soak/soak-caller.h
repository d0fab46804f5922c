#pragma once

#include <functional>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "proxy/tcp-stream.h"

namespace toucanmux::soak {

/// How one statement or transaction ended for its caller.
struct soak_outcome {
  std::vector<std::string> writes;  ///< Ids of its writes.
  std::string decisive;             ///< The id of its commit or single write.
  bool transaction = false;
  bool acknowledged = false;
  bool promised = false;  ///< The caller was told that nothing is kept.
};

/// What a caller needs of the world around it.
struct caller_world {
  std::function<inet_address()> somewhere;  ///< An instance to connect to.
  std::function<std::string()> key;
  std::function<void(const soak_outcome&)> ended;
  /// A read begins; returns a check to make with the position it was read at.
  std::function<std::function<void(std::uint64_t)>()> read;
  /// A write was acknowledged at this position.
  std::function<void(std::uint64_t)> wrote;
};

/// A caller that asks one thing after another, over a connection that it keeps
/// as long as it lasts.
class soak_caller final : public stream_owner {
 public:
  soak_caller(event_loop& loop, caller_world world, std::string name,
              std::uint32_t seed);

  void stop() { stopping_ = true; }

  void on_open() override;
  void on_input() override;
  void on_closed() override;

 private:
  void connect();
  void next();
  void ask(const std::string& text);
  void take_line(const std::string& line);
  void answered(const std::string& ready);
  void fail(const std::string& code);
  void finish();

  event_loop& loop_;
  caller_world world_;
  std::string name_;
  std::mt19937 random_;
  tcp_stream stream_;
  timer timer_;
  bool stopping_ = false;
  bool opened_ = false;
  unsigned count_ = 0;
  std::vector<std::string> left_;  ///< Statements to come, in turn.
  bool asking_ = false;
  std::string code_;  ///< Of the answer that comes in, if it is an error.
  soak_outcome outcome_;
  std::function<void(std::uint64_t)> check_;
};

}  // namespace toucanmux::soak
