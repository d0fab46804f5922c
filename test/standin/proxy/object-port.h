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

/// A small stand-in of the platform's store and of its failover call, on the
/// loop of the test.
class platform_stub {
 public:
  explicit platform_stub(event_loop& loop);
  ~platform_stub();
  platform_stub(const platform_stub&) = delete;
  platform_stub(platform_stub&&) = delete;
  platform_stub& operator=(const platform_stub&) = delete;
  platform_stub& operator=(platform_stub&&) = delete;

  inet_address address() const { return listener_.address(); }
  /// Writes an object as another writer does; `spec` is JSON.
  void put(const std::string& kind, const std::string& name,
           const std::string& spec);
  void remove(const std::string& kind, const std::string& name);
  bool contains(const std::string& kind, const std::string& name) const {
    auto known = kinds_.find(kind);
    return known != kinds_.end() && known->second.contains(name);
  }
  std::string spec(const std::string& kind, const std::string& name) const;
  /// Drops what watches could still be told.
  void discard_history();
  /// The bodies of the failover calls so far.
  const std::vector<std::string>& failovers() const { return failovers_; }
  std::uint64_t calls() const { return calls_; }
  std::uint64_t watches() const { return watches_; }
  std::uint64_t writes() const { return writes_; }
  /// Reads that may be served from an older state get this one from now on.
  void freeze_stale_reads() {
    old_kinds_ = kinds_;
    old_revision_ = revision_;
  }

  bool silent = false;  ///< Reads, and answers nothing.

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
    std::string body;  ///< The event's JSON.
    std::uint64_t revision = 0;
  };

  void note(const std::string& kind, const std::string& name, bool removed);
  std::string body_of(const std::string& name, const object& what) const;

  event_loop& loop_;
  std::uint64_t revision_ = 10;
  std::uint64_t oldest_ = 0;  ///< Changes up to it are forgotten.
  state kinds_;
  std::optional<state> old_kinds_;
  std::uint64_t old_revision_ = 0;
  std::vector<change> changes_;
  std::list<std::unique_ptr<session>> sessions_;
  std::vector<std::string> failovers_;
  std::uint64_t calls_ = 0;
  std::uint64_t watches_ = 0;
  std::uint64_t writes_ = 0;
  tcp_listener listener_;
};

}  // namespace toucanmux::standin
