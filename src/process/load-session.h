#pragma once

#include <memory>
#include <optional>
#include <random>
#include <string>

#include "connection/http-client.h"
#include "process/load-history.h"

namespace toucanmux {

/// One caller of a team: makes a call at a time, checks its answer, and takes
/// its session along when it roams to another instance.
class load_session {
 public:
  load_session(const load_settings& settings, load_history& history,
               target_health& health, std::size_t team, std::uint64_t number,
               std::uint64_t seed);
  ~load_session();
  Q_DISABLE_COPY_MOVE(load_session)

  bool busy() const { return busy_; }
  /// Makes one call of a kind drawn from the mix.
  void call();

 private:
  struct parsed_answer;
  using answer_handler = std::function<void(parsed_answer&&)>;

  call_kind draw_kind();
  void choose_target();
  void read();
  void check_read(const parsed_answer& got, std::int64_t echo,
                  std::int64_t least);
  void write();
  void begin();
  void insert_in_transaction(int line);
  void end_transaction();
  void send(const std::string& path, const std::string& body,
            const answer_handler& done);
  void finish(const parsed_answer& got);
  std::string transaction_path(const char* step) const;
  std::string order_body(std::int64_t sequence, const std::string& order);

  const load_settings& settings_;
  load_history& history_;
  target_health& health_;
  std::uint64_t number_;
  std::mt19937_64 random_;
  std::unique_ptr<http_client> client_;
  std::size_t target_ = 0;
  std::string session_token_;
  int shard_ = 0;
  std::int64_t last_sequence_ = 0;          ///< Highest that was sent.
  std::int64_t acknowledged_sequence_ = 0;  ///< Highest that was acknowledged.
  std::uint64_t transaction_id_ = 0;
  bool transaction_failed_ = false;
  load_call current_call_;
  bool busy_ = false;
};

}  // namespace toucanmux
