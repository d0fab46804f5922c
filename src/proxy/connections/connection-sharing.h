#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "proxy/upstream-link.h"
#include "toucanmux/proxy/connections/avoided-peers.h"
#include "toucanmux/proxy/connections/connection-owners.h"

namespace toucanmux {

class journal;
class link_request;
class upstream_group;

/// A live instance and where it accepts relayed statements.
struct sharing_instance {
  owner_candidate candidate;
  inet_address relay_address;  ///< Port 0 if it accepts none.

  bool operator==(const sharing_instance&) const = default;
};

/// What the owner of a database's connections offers a statement.
struct relay_offer {
  bool has_idle_link = false;
  /// A link may be opened, possibly after closing an idle one.
  bool can_open = false;
  unsigned in_flight = 0;  ///< Links in use for the database.
};

/// Statements that are sent to an owner at the same time.
struct relay_capacity {
  std::size_t links = 0;   ///< That may be used.
  std::size_t in_use = 0;  ///< Of these.
};

/// This instance's part in sharing connections with the others: which instance
/// owns the connections of a team to a database, and the links over which
/// statements are sent to the owners. Groups keep these links apart from their
/// connections to databases.
class connection_sharing final : public link_owner {
 public:
  struct settings {
    /// Time for an owner to accept a link, within its failure domain and in
    /// another one.
    duration near_connect_timeout = std::chrono::milliseconds(60);
    duration far_connect_timeout = std::chrono::milliseconds(100);
    /// Of links to owners.
    duration link_idle_timeout = std::chrono::seconds(20);
    /// Links to all owners together.
    std::size_t max_links = 200;
    /// Links for one team, database and priority.
    std::size_t max_parallel_links = 8;
  };
  struct counters {
    std::uint64_t statements = 0;  ///< Answered over links to owners.
    std::uint64_t refusals = 0;    ///< Links that an owner refused.
    std::uint64_t failures = 0;    ///< Times that an owner became avoided.
  };

  /// How long owners keep idle connections to databases. Databases end them
  /// after 60 s.
  static constexpr duration owned_idle_timeout = std::chrono::seconds(20);

  connection_sharing(event_loop& loop, journal& log, const member_id& self,
                     const domain_id& domain)
      : connection_sharing(loop, log, self, domain, settings()) {}
  connection_sharing(event_loop& loop, journal& log, const member_id& self,
                     const domain_id& domain, const settings& values);
  ~connection_sharing() override;
  connection_sharing(const connection_sharing&) = delete;
  connection_sharing(connection_sharing&&) = delete;
  connection_sharing& operator=(const connection_sharing&) = delete;
  connection_sharing& operator=(connection_sharing&&) = delete;

  /// Sets the live instances, this one included.
  /// @return false if they have not changed.
  bool set_instances(std::vector<sharing_instance> instances);
  std::size_t instance_count() const { return instances_.size(); }
  const connection_owners& owners_of(const upstream_entry& entry,
                                     unsigned max_connections);

  /// Whether the team's statements for the database are sent to an owner.
  /// False if this instance is the owner, or while the owner is avoided.
  bool uses_relay(const upstream_group& group, std::size_t index,
                  const team_id& team);
  /// What the owner offers a request; nothing if it is not sent to an owner.
  std::optional<relay_offer> offer(const upstream_group& group,
                                   std::size_t index,
                                   const link_request& request);
  /// The links over which requests like this one are sent to the owner.
  relay_capacity capacity(const upstream_group& group, std::size_t index,
                          const link_request& request) const;
  /// Returns an idle link to the owner, or null. In that case a link may have
  /// been started; the group is notified when it is ready.
  upstream_link* acquire(upstream_group& group, std::size_t index,
                         const link_request& request);
  std::size_t link_count() const { return links_.size(); }

  /// Called a few times a second for silent owners and idle links.
  void tick();
  /// Closes the idle links and forgets the instances, since connections are no
  /// longer shared.
  void stop();

  const counters& counts() const { return counters_; }
  std::size_t avoided_count() const { return avoided_.count(loop_.now()); }

  void on_link_ready(upstream_link& link) override;
  void on_link_idle(upstream_link& link) override;
  void on_link_ended(upstream_link& link) override;
  void on_link_answer(upstream_link& link, const link_answer& answer) override;

 private:
  struct owner_link {
    link_ptr link;
    upstream_group* group = nullptr;
    database_id database;
    member_id owner;
    unsigned priority = 0;
    bool in_use = false;
  };
  struct known_owners {
    domain_id domain;
    unsigned max_connections = 0;
    connection_owners owners;
  };

  const sharing_instance* find(const member_id& id) const;
  bool can_open(const upstream_group& group, std::size_t index,
                const link_request& request) const;
  /// The number of links in use for one database.
  unsigned in_flight(const upstream_group& group, std::size_t index) const;
  const sharing_instance* relay_for(const upstream_group& group,
                                    std::size_t index, const team_id& team);
  bool matches(const owner_link& candidate, const upstream_group& group,
               std::size_t index, const link_request& request) const;
  owner_link* idle_link(const upstream_group& group, std::size_t index,
                        const link_request& request,
                        const sharing_instance& owner);
  owner_link* find(const upstream_link& link);
  bool retire_oldest_idle();
  void retire_idle_links(const member_id& owner);
  void open(upstream_group& group, std::size_t index,
            const link_request& request, const sharing_instance& owner);
  void avoid(const member_id& owner, const database_id& database,
             std::string_view reason);
  void check_silence(const owner_link& checked);
  void close_if_unused(const owner_link& checked);

  event_loop& loop_;
  journal& log_;
  member_id self_;
  domain_id domain_;
  settings settings_;
  std::vector<sharing_instance> instances_;
  std::map<database_id, known_owners> owners_;
  avoided_peers avoided_;
  std::map<member_id, instant> last_answers_;  ///< By owner.
  std::vector<owner_link> links_;
  counters counters_;
};

}  // namespace toucanmux
