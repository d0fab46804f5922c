#include "version/config-service.h"

#include "process/clock.h"
#include "process/log.h"
#include "process/timeline.h"
#include "toucanmux/hash.h"
#include "toucanmux/version/list-codec.h"

namespace toucanmux {

namespace {

constexpr std::chrono::milliseconds tick_interval{100};
// Maximum duration of a fetch between peers; afterwards the link is closed.
constexpr std::chrono::seconds fetch_time_limit{10};
// A reply is sent once its objects reach this size. Far below the maximum frame
// size, as the last object may add another megabyte.
constexpr std::size_t reply_target_bytes = 2U << 20U;

config_follower::settings make_settings(const process_settings& process) {
  config_follower::settings out;
  out.self = process.self.id;
  out.random_seed =
      mix(stable_hash(process.self.id.value) + process.self.incarnation);
  return out;
}

std::string object_path(const config_object& object) {
  return object.kind + "/" + object.key;
}

}  // namespace

struct config_service::fetch {
  member_id peer;
  std::unique_ptr<frame_link> link;
  std::vector<config_object> objects;
};

config_service::config_service(const process_settings& settings,
                               platform_client& platform,
                               member_service& members, view_handler publish)
    : platform_(platform),
      members_(members),
      publish_(std::move(publish)),
      follower_(make_settings(settings)),
      peer_listener_([this](qintptr descriptor) { accept_link(descriptor); }) {
  QObject::connect(&timer_, &QTimer::timeout,
                   [this] { step(config_follower::tick()); });
}

config_service::~config_service() = default;

void config_service::start() {
  peer_listener_.open(members_.self().address, members_.self().control_port);
  timer_.start(tick_interval);
}

duration config_service::age() const { return follower_.age(now()); }

void config_service::members_changed() {
  view_outdated_ = true;
  step(config_follower::domain_members{members_.domain_members()});
}

void config_service::handle_peer_digest(const member_id& sender,
                                        const std::string& digest) {
  step(config_follower::peer_digest{sender, digest});
}

void config_service::step(const config_follower::event& event) {
  for (auto& action : follower_.step(now(), event)) {
    std::visit([this](auto& alternative) { execute(std::move(alternative)); },
               action);
  }
  if (view_outdated_ && follower_.ready()) publish_view();
}

void config_service::execute(config_follower::watch_kind&& request) {
  auto on_batch = [this, kind = request.kind](const object_batch& batch) {
    config_follower::watch_ended ended{kind, batch.reached, batch.revision, {}};
    for (const auto& object : batch.objects) {
      ended.objects.push_back(
          {object.kind, object.key, object.version, object.value});
    }
    step(ended);
  };
  if (request.since == 0) return platform_.list(request.kind, on_batch);
  platform_.watch(request.kind, request.since, request.wait, on_batch);
}

void config_service::execute(config_follower::fetch_from_peer&& request) {
  const member* peer = members_.find(request.peer);
  if (peer == nullptr) {
    return step(config_follower::fetch_ended{request.peer, false, {}});
  }
  auto id = ++last_link_id_;
  fetch& new_fetch = fetches_[id];
  new_fetch.peer = request.peer;
  new_fetch.link =
      std::make_unique<frame_link>(endpoint{peer->address, peer->control_port});
  new_fetch.link->on(
      [this, id](link_message&& message) {
        handle_fetch_reply(id, std::move(message));
      },
      [this, id] { finish_fetch(id, false); });
  new_fetch.link->send(hello{members_.self().id, members_.self().incarnation});
  new_fetch.link->send(objects_request{request.newer_than});
  QTimer::singleShot(fetch_time_limit, &timer_,
                     [this, id] { finish_fetch(id, false); });
}

void config_service::handle_fetch_reply(std::uint64_t id,
                                        link_message&& message) {
  auto* reply = std::get_if<objects_reply>(&message);
  auto it = fetches_.find(id);
  if (reply == nullptr || it == fetches_.end()) return;
  for (auto& object : reply->objects) {
    it->second.objects.push_back(std::move(object));
  }
  if (!reply->more) finish_fetch(id, true);
}

void config_service::finish_fetch(std::uint64_t id, bool reached) {
  auto it = fetches_.find(id);
  if (it == fetches_.end()) return;
  fetch finished = std::move(it->second);
  fetches_.erase(it);
  if (!reached) finished.objects.clear();
  step(config_follower::fetch_ended{finished.peer, reached,
                                    std::move(finished.objects)});
}

void config_service::accept_link(qintptr descriptor) {
  auto id = ++last_link_id_;
  auto link = std::make_unique<frame_link>(static_cast<int>(descriptor));
  link->on(
      [this, id](link_message&& message) {
        const auto* request = std::get_if<objects_request>(&message);
        if (request == nullptr) return;
        step(config_follower::peer_fetches{id, request->newer_than});
      },
      [this, id] { peer_links_.erase(id); });
  peer_links_.emplace(id, std::move(link));
  QTimer::singleShot(fetch_time_limit, &timer_,
                     [this, id] { peer_links_.erase(id); });
}

void config_service::execute(config_follower::send_objects&& answer) {
  auto it = peer_links_.find(answer.request);
  if (it == peer_links_.end()) return;
  objects_reply reply;
  std::size_t size = 0;
  for (auto& object : answer.objects) {
    size += object.value.size();
    reply.objects.push_back(std::move(object));
    if (size < reply_target_bytes) continue;
    reply.more = true;
    it->second->send(std::exchange(reply, {}));
    size = 0;
  }
  it->second->send(reply);
}

void config_service::execute(config_follower::activate_object&& update) {
  const auto& object = update.object;
  if (object.kind == "groups") {
    auto group = parse_database_group(object.value);
    groups_[group.id] = group;
  }
  if (object.kind == "lists") lists_changed_ = true;
  view_outdated_ = true;
  process_timeline().record("config_taken",
                            {{"object", object_path(object)},
                             {"version", std::to_string(object.version)}});
}

void config_service::execute(config_follower::refuse_object&& rejection) {
  process_timeline().record("config_refused",
                            {{"object", rejection.kind + "/" + rejection.key},
                             {"version", std::to_string(rejection.version)}});
  log_warning(log_part::lists, "Kept the last valid " + rejection.kind + "/" +
                                   rejection.key + "; version " +
                                   std::to_string(rejection.version) +
                                   " is invalid: " + rejection.error + ".");
}

void config_service::execute(config_follower::set_digest&& update) {
  members_.set_digest(update.digest, update.urgent);
}

void config_service::execute(config_follower::become_ready&&) {
  view_outdated_ = true;
  process_timeline().record("config_ready", {});
  log_info(log_part::lists, "The team and plan lists are active.");
}

void config_service::publish_view() {
  view_outdated_ = false;
  if (std::exchange(lists_changed_, false)) {
    teams_ = new team_index(follower_.teams(), follower_.plans());
  }
  auto* new_view = new fleet_view;
  fleet_view_ptr published(new_view);
  new_view->domain = members_.self().domain;
  new_view->groups = groups_;
  new_view->teams = teams_;
  new_view->pools = members_.pools();
  new_view->choose_owners();
  publish_(published);
}

}  // namespace toucanmux
