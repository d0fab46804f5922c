#pragma once

#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "proxy/tcp-listener.h"
#include "proxy/tcp-stream.h"

namespace toucanmux::standin {

/// A stand-in for the platform's store and its failover call, on the loop of
/// the test.
class platform_stub {
 public:
  explicit platform_stub(event_loop& loop);
  ~platform_stub();
  platform_stub(const platform_stub&) = delete;
  platform_stub(platform_stub&&) = delete;
  platform_stub& operator=(const platform_stub&) = delete;
  platform_stub& operator=(platform_stub&&) = delete;

  inet_address address() const { return listener_.address(); }
  /// Writes an object as another instance would; `spec` is JSON.
  void put(const std::string& kind, const std::string& name,
           const std::string& spec);
  void remove(const std::string& kind, const std::string& name);
  bool contains(const std::string& kind, const std::string& name) const {
    auto objects = objects_.find(kind);
    return objects != objects_.end() && objects->second.contains(name);
  }
  std::string spec(const std::string& kind, const std::string& name) const;
  /// Drops the change history: watches from an older revision are answered with
  /// 410.
  void discard_history();
  /// Keeps a copy of the objects and of the revision for `restore_copy`.
  void save_copy() {
    saved_objects_ = objects_;
    saved_revision_ = revision_;
  }
  /// Returns to the saved copy: later writes are gone, and their revisions are
  /// given out again.
  void restore_copy();
  std::uint64_t revision() const { return revision_; }
  /// Bodies of the failover calls so far, in order.
  const std::vector<std::string>& failovers() const { return failovers_; }
  /// The fencing tokens of these calls.
  const std::vector<std::uint64_t>& failover_tokens() const {
    return failover_tokens_;
  }
  std::uint64_t calls() const { return calls_; }
  std::uint64_t watches() const { return watches_; }
  std::uint64_t writes() const { return writes_; }
  /// From now on, reads that allow stale data are served from the current
  /// state.
  void freeze_stale_reads() {
    stale_objects_ = objects_;
    stale_revision_ = revision_;
  }

  bool silent = false;  ///< Reads requests and answers none.

 private:
  class session;
  struct object {
    std::string spec;
    std::uint64_t revision = 0;
  };
  using state = std::map<std::string, std::map<std::string, object>>;
  struct change {
    std::string kind;
    std::string name;
    std::string body;  ///< JSON of the watch event.
    std::uint64_t revision = 0;
  };

  void record_change(const std::string& kind, const std::string& name,
                     bool removed);
  std::string body_of(const std::string& name, const object& stored) const;

  event_loop& loop_;
  std::uint64_t revision_ = 10;
  /// Changes up to this revision are no longer kept.
  std::uint64_t oldest_watchable_ = 0;
  state objects_;
  std::optional<state> stale_objects_;
  std::uint64_t stale_revision_ = 0;
  std::vector<change> changes_;
  std::list<std::unique_ptr<session>> sessions_;
  std::uint64_t era_ = 0;
  state saved_objects_;
  std::uint64_t saved_revision_ = 0;
  std::vector<std::string> failovers_;
  std::vector<std::uint64_t> failover_tokens_;
  std::uint64_t calls_ = 0;
  std::uint64_t watches_ = 0;
  std::uint64_t writes_ = 0;
  tcp_listener listener_;
};

}  // namespace toucanmux::standin
