#pragma once

#include <memory>
#include <optional>
#include <random>
#include <string>

#include "connection/http-client.h"
#include "process/load-history.h"

namespace toucanmux {

/// One caller of a team: makes one call at a time, checks the answer, and keeps
/// its session token when it moves to another instance.
class load_session {
 public:
  load_session(const load_settings& settings, load_history& history,
               target_health& health, std::size_t team, std::uint64_t number,
               std::uint64_t seed);
  ~load_session();
  Q_DISABLE_COPY_MOVE(load_session)

  bool busy() const { return busy_; }
  /// Starts one call of a kind drawn from the mix. The session must not be
  /// busy.
  void call();

 private:
  struct parsed_answer;
  using answer_handler = std::function<void(parsed_answer&&)>;

  call_kind draw_kind();
  void choose_target();
  void read();
  void check_read(const parsed_answer& reply, std::int64_t expected_echo,
                  std::int64_t min_sequence);
  void write();
  void begin();
  void insert_in_transaction(int row);
  void end_transaction();
  void send(const std::string& path, const std::string& body,
            const answer_handler& done);
  void finish(const parsed_answer& reply);
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
  std::int64_t last_sequence_ = 0;          ///< Highest sequence number sent.
  std::int64_t acknowledged_sequence_ = 0;  ///< Highest one acknowledged.
  std::uint64_t transaction_id_ = 0;
  bool transaction_failed_ = false;
  load_call current_call_;
  bool busy_ = false;
};

}  // namespace toucanmux
