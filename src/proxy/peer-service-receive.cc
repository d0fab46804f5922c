#include <algorithm>

#include "proxy/peer-service.h"
#include "toucanmux/codec.h"
#include "toucanmux/hash.h"
#include "toucanmux/process/datagram.h"
#include "toucanmux/proxy/peer-frame.h"

namespace toucanmux {

namespace {

using std::chrono::milliseconds;
using role = peer_directory::role;
using scope = peer_report::scope;

}  // namespace

void peer_service::take(std::span<const char> bytes, const inet_address& from) {
  try {
    auto envelope = unpack_datagram(bytes);
    auto frame = decode<peer_frame>(envelope.payload);
    auto message = decode<peer_message>(frame.body);
    if (envelope.from == state_.settings.self) return;
    std::visit(overloaded{[&](const peer_report& report) {
                            take_report(envelope, from, frame.echo, report);
                          },
                          [&](const position_question& question) {
                            answer_positions(from, question);
                          },
                          [&](const position_answer& answer) {
                            take_positions(answer.echo, answer.positions.items);
                          },
                          [&](const upstream_news& news) {
                            told_.upstreams_changed(news);
                          },
                          [&](const hub_notice& notice) { follow(notice); }},
               message);
  } catch (const protocol_error& e) {
    state_.log.write(journal_kind::dependency, "bad_datagram",
                     {{"from", to_text(from)}, {"reason", e.what()}});
  }
}

void peer_service::take_report(const datagram& envelope,
                               const inet_address& from, std::uint64_t echo,
                               const peer_report& report) {
  auto arrived = peers_.take(state_.loop.now(), envelope.from,
                             envelope.incarnation, from, echo, report);
  if (!arrived.from) return;
  const peer& sender = *arrived.from;
  take_uses(sender, report, arrived.whole);
  take_sightings(sender, report);
  take_positions(echo, report.positions.items);
  if (!report.head) return;
  take_leads(report);
  take_proof(sender, report);
  if (arrived.fresh) note_members();
  // A new process waits for what its peers know, and one without the store
  // for a sign that it is not alone.
  if (arrived.fresh || report.wants_reply) reply(sender);
  if (report.whose == scope::domain) point_to_hub(sender);
}

// A hub that is new does not know those of the other domains.
void peer_service::point_to_hub(const peer& to) {
  const peer* hub = peers_.reader(state_.loop.now());
  bool mistaken = peers_.own_role() == role::member && !peers_.is_near(to);
  if (!hub || !mistaken) return;
  send(encode(peer_message(hub_notice{hub->record.id})), 0, to.record.address);
}

void peer_service::follow(const hub_notice& notice) {
  auto known = peers_.all().find(notice.hub);
  if (known == peers_.all().end()) return;
  if (peers_.own_role() != role::hub) return;
  if (peers_.hub_of(state_.loop.now(), known->second.record.domain)) return;
  send_parts(make_parts({scope::domain, true, false}), known->second);
}

void peer_service::reply(const peer& to) {
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

// A hub counts the instances of its domain one by one and the other domains
// as one each; a member counts all others as one.
void peer_service::take_uses(const peer& from, const peer_report& report,
                             bool whole) {
  instant now = state_.loop.now();
  auto& limits = state_.rate_limits;
  auto incarnation = incarnation_of(from);
  std::span<const team_use> uses(report.uses.items);
  bool near = peers_.is_near(from);
  bool one = report.whose == scope::self;
  switch (peers_.own_role()) {
    case role::mesh:
      if (!one) return;
      return limits.take_report(now, from.record.id, from.incarnation,
                                report.settled, uses, whole);
    case role::hub: {
      if (near && one) {
        return limits.take_report(now, from.record.id, from.incarnation,
                                  report.settled, uses, whole);
      }
      const auto& domain = from.record.domain;
      bool sums = !near && report.whose == scope::domain &&
                  peers_.hub_of(now, domain) == &from;
      if (!sums) return;
      return limits.take_report(now, all_of(domain), incarnation,
                                report.settled, uses, whole);
    }
    case role::member:
      if (report.whose != scope::fleet || peers_.reader(now) != &from) return;
      return limits.take_report(
          now, all_of({}), incarnation, report.settled,
          others_.take(incarnation, whole, from.echoed, uses), whole);
  }
}

void peer_service::take_sightings(const peer& from, const peer_report& report) {
  instant now = state_.loop.now();
  for (const auto& sighting : report.sightings.items) {
    auto* group = state_.find_group(sighting.group);
    if (group) group->watch().take_sighting(now, from.record.id, sighting);
  }
}

// A peer that has heard our stamp sent its report after it, so what it proves
// is no older than the stamp less the age that it names. A report that was
// long on its way, or that waited while this process was suspended, proves no
// more than that.
void peer_service::take_proof(const peer& from, const peer_report& report) {
  // Stamps of an earlier process prove nothing to this one.
  if (from.echoed < incarnation_) return;
  instant sent(duration(static_cast<std::int64_t>(from.echoed)));
  if (sent > state_.loop.now()) return;
  state_.leader_leases.prove(sent - milliseconds(report.lead_age_ms),
                             report.lead_digest);
  bool same = report.config_revision != 0 &&
              report.config_revision == state_.config->revision();
  if (same)
    state_.confirmation.prove(sent - milliseconds(report.config_age_ms));
}

// A hub's members hear of it with the hub's next report.
void peer_service::take_leads(const peer_report& report) {
  auto before = state_.leader_leases.digest();
  for (const auto& record : report.leads.items) {
    state_.leader_leases.take(state_.loop.now(), record);
  }
  if (state_.leader_leases.digest() != before) hurry();
}

void peer_service::answer_positions(const inet_address& to,
                                    const position_question& question) {
  position_answer out;
  out.echo = question.stamp;
  for (auto hash : question.groups.items) {
    auto* group = state_.find_group(hash);
    if (!group) continue;
    group->want_samples();
    auto position = position_of(*group);
    if (position) out.positions.items.push_back(*position);
  }
  send(encode(peer_message(out)), 0, to);
}

// The peer wrote after our stamp, so its positions are no older than the stamp
// less the ages that it names.
void peer_service::take_positions(std::uint64_t echo,
                                  std::span<const group_position> positions) {
  instant asked(duration(static_cast<std::int64_t>(echo)));
  // Stamps of an earlier process prove nothing to this one.
  if (echo < incarnation_ || asked > state_.loop.now()) return;
  for (const auto& item : positions) {
    auto* group = state_.find_group(item.group);
    if (!group) continue;
    group->take_sample(asked - milliseconds(item.age_ms), item.position);
  }
}

}  // namespace toucanmux
