#include <algorithm>

#include "proxy/peer-service.h"
#include "toucanmux/codec.h"
#include "toucanmux/hash.h"
#include "toucanmux/process/datagram.h"
#include "toucanmux/proxy/echoed-moment.h"
#include "toucanmux/proxy/peer-frame.h"

namespace toucanmux {

namespace {

using std::chrono::milliseconds;
using role = peer_directory::role;
using scope = peer_report::scope;

}  // namespace

void peer_service::handle_datagram(std::span<const char> bytes,
                                   const inet_address& address) {
  try {
    auto envelope = unpack_datagram(bytes);
    auto frame = decode<peer_frame>(envelope.payload);
    auto message = decode<peer_message>(frame.body);
    if (envelope.from == state_.settings.self) return;
    std::visit(
        overloaded{
            [&](const peer_report& report) {
              handle_report(envelope, address, frame.echo, report);
            },
            [&](const position_request& request) {
              send_positions(address, request);
            },
            [&](const position_reply& answer) {
              apply_positions(answer.echo, answer.positions.items);
            },
            [&](const upstream_update& update) {
              callbacks_.upstreams_changed(update);
            },
            [&](const hub_notice& notice) { handle_hub_notice(notice); }},
        message);
  } catch (const protocol_error& e) {
    state_.unreadable.note("datagram", to_text(address), e.what());
  }
}

void peer_service::handle_report(const datagram& envelope,
                                 const inet_address& address,
                                 std::uint64_t echo,
                                 const peer_report& report) {
  auto outcome =
      peers_.apply_report(state_.loop.now(), envelope.from,
                          envelope.incarnation, address, echo, report);
  if (!outcome.sender) return;
  const peer& sender = *outcome.sender;
  apply_uses(sender, report, outcome.complete);
  apply_sightings(sender, report);
  apply_positions(echo, report.positions.items);
  if (!report.is_first_part) return;
  apply_loads(sender, report);
  apply_leader_records(report);
  apply_confirmations(sender, report);
  apply_drained_domains(sender, report);
  if (outcome.new_process) update_members();
  // A new process needs the state of its peers, and an instance without the
  // store needs to know whether its peers reach it.
  if (outcome.new_process || report.wants_reply) send_reply(sender);
  if (report.sender_scope == scope::domain) redirect_to_hub(sender);
}

// A new hub does not know the hubs of the other failure domains. A member that
// gets a new hub's sums answers with the name of its own hub.
void peer_service::redirect_to_hub(const peer& to) {
  const peer* hub = peers_.domain_reader(state_.loop.now());
  bool sender_is_mistaken =
      peers_.own_role() == role::member && !peers_.is_near(to);
  if (!hub || !sender_is_mistaken) return;
  send(encode(peer_message(hub_notice{hub->record.id})), 0, to.record.address);
}

void peer_service::handle_hub_notice(const hub_notice& notice) {
  auto known = peers_.all().find(notice.hub);
  if (known == peers_.all().end()) return;
  if (peers_.own_role() != role::hub) return;
  if (peers_.hub_of(state_.loop.now(), known->second.record.domain)) return;
  send_parts(make_parts({scope::domain, true, false}), known->second);
}

void peer_service::send_reply(const peer& to) {
  bool near = peers_.is_near(to);
  switch (peers_.own_role()) {
    case role::mesh:
      return send_parts(make_parts({scope::self, true, true}), to);
    case role::hub:
      return send_parts(
          make_parts({near ? scope::fleet : scope::domain, true, true}), to);
    case role::member:
      return;
  }
}

// A hub counts the instances of its own failure domain one by one, and each
// other domain as one peer. A member counts all other instances as one peer.
void peer_service::apply_uses(const peer& sender, const peer_report& report,
                              bool complete) {
  instant now = state_.loop.now();
  auto& limits = state_.rate_limits;
  auto incarnation = sums_incarnation(sender);
  std::span<const team_usage> uses(report.uses.items);
  bool near = peers_.is_near(sender);
  bool from_single_instance = report.sender_scope == scope::self;
  switch (peers_.own_role()) {
    case role::mesh:
      if (!from_single_instance) return;
      return limits.apply_report(now, sender.record.id, sender.incarnation,
                                 report.levels_settled, uses, complete);
    case role::hub: {
      if (near && from_single_instance) {
        return limits.apply_report(now, sender.record.id, sender.incarnation,
                                   report.levels_settled, uses, complete);
      }
      const auto& domain = sender.record.domain;
      bool is_hub_of_domain = !near && report.sender_scope == scope::domain &&
                              peers_.hub_of(now, domain) == &sender;
      if (!is_hub_of_domain) return;
      return limits.apply_report(now, domain_member_id(domain), incarnation,
                                 report.levels_settled, uses, complete);
    }
    case role::member:
      if (report.sender_scope != scope::fleet ||
          peers_.domain_reader(now) != &sender)
        return;
      return limits.apply_report(
          now, domain_member_id({}), incarnation, report.levels_settled,
          peer_usage_.apply_totals(incarnation, complete, sender.echoed_stamp,
                                   uses),
          complete);
  }
}

// The loads are taken from the same senders as the uses.
void peer_service::apply_loads(const peer& sender, const peer_report& report) {
  instant now = state_.loop.now();
  bool near = peers_.is_near(sender);
  bool from_single_instance = report.sender_scope == scope::self;
  switch (peers_.own_role()) {
    case role::mesh:
      if (from_single_instance) loads_.apply_instance(sender, report);
      return;
    case role::hub: {
      if (near && from_single_instance)
        return loads_.apply_instance(sender, report);
      const auto& domain = sender.record.domain;
      bool is_hub_of_domain = !near && report.sender_scope == scope::domain &&
                              peers_.hub_of(now, domain) == &sender;
      if (is_hub_of_domain) loads_.apply_domain(domain, report);
      return;
    }
    case role::member:
      if (report.sender_scope == scope::fleet &&
          peers_.domain_reader(now) == &sender)
        loads_.apply_fleet(sender, report);
      return;
  }
}

void peer_service::apply_sightings(const peer& sender,
                                   const peer_report& report) {
  instant now = state_.loop.now();
  for (const auto& sighting : report.sightings.items) {
    auto* group = state_.find_group(sighting.group);
    if (group) group->watch().apply_sighting(now, sender.record.id, sighting);
  }
}

// A peer that echoes a stamp of this instance sent its report after that stamp.
// So the moment that the report confirms is no earlier than the echoed stamp
// less the age in the report, however long the report was on its way or waited
// while this process was paused.
void peer_service::apply_confirmations(const peer& sender,
                                       const peer_report& report) {
  auto echoed =
      echoed_moment(sender.echoed_stamp, incarnation_, state_.loop.now());
  if (!echoed) return;
  instant sent_at = *echoed;
  state_.leader_leases.confirm_from_peer(
      sent_at - milliseconds(report.leader_age_ms), report.leader_digest);
  if (peers_.domain_reader(state_.loop.now()) == &sender) {
    state_.upstream_confirmation.confirm_report(
        upstream_version_, sender.upstream_version,
        sent_at - milliseconds(report.upstream_age_ms));
  }
  bool same_config = report.config_version != 0 &&
                     report.config_version == state_.config->version() &&
                     report.config_digest == state_.config->digest();
  if (same_config)
    state_.confirmation.confirm(sent_at - milliseconds(report.config_age_ms));
}

// The members learn of new records from their hub's next report.
void peer_service::apply_leader_records(const peer_report& report) {
  auto digest_before = state_.leader_leases.digest();
  // A generation that this instance has not seen yet may lack its registration.
  bool adoptable =
      report.leader_generation > state_.leader_leases.generation() &&
      report.leader_generation <= state_.store.current();
  if (adoptable) {
    state_.leader_leases.adopt_from_peer(
        state_.loop.now(), report.leader_generation, report.leader_digest,
        report.leader_records.items);
  }
  for (const auto& record : report.leader_records.items) {
    state_.leader_leases.apply_record(state_.loop.now(), record);
  }
  if (state_.leader_leases.digest() != digest_before) expedite_reports();
}

void peer_service::send_positions(const inet_address& to,
                                  const position_request& request) {
  position_reply out;
  out.echo = request.stamp;
  for (auto hash : request.groups.items) {
    auto* group = state_.find_group(hash);
    if (!group) continue;
    group->request_samples();
    auto position = position_of(*group);
    if (position) out.positions.items.push_back(*position);
  }
  send(encode(peer_message(out)), 0, to);
}

// The peer replied after the echoed stamp, so its positions are no older than
// that stamp less the ages in the reply.
void peer_service::apply_positions(std::uint64_t echo,
                                   std::span<const group_position> positions) {
  auto sent_at = echoed_moment(echo, incarnation_, state_.loop.now());
  if (!sent_at) return;
  for (const auto& item : positions) {
    auto* group = state_.find_group(item.group);
    if (!group) continue;
    group->apply_sample(*sent_at - milliseconds(item.age_ms), item.position);
  }
}

}  // namespace toucanmux
