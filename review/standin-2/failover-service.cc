#include "failover-service.h"

#include <algorithm>
#include <thread>

namespace review {

failover_service::failover_service(const std::string& ip, bool checks_tokens,
                                   milliseconds promote, record& log)
    : checks_tokens_(checks_tokens),
      promote_(promote),
      log_(log),
      server_(ip, [this](const connection_ptr& caller) { serve(caller); }) {}

void failover_service::add(database_group& group) {
  std::lock_guard lock(mutex_);
  groups_[group.name()] = &group;
}

std::vector<failover_call> failover_service::calls() {
  std::lock_guard lock(mutex_);
  return calls_;
}

void failover_service::serve(const connection_ptr& caller) {
  for (;;) {
    auto request = read_request(*caller);
    if (!request) return;
    auto body = nlohmann::json::parse(request->body, nullptr, false);
    if (request->path != "/failover" || !body.is_object()) {
      write_response(*caller, {404});
      continue;
    }
    failover_call call;
    call.service = body.value("service", "");
    call.database = body.value("id", "");
    call.holder = request->headers["toucanmux-lease-holder"];
    call.token = std::stoull(request->headers["toucanmux-fence-token"]);
    bool down = down_;
    database_group* group = nullptr;
    {
      std::lock_guard lock(mutex_);
      auto& highest = highest_tokens_[call.service];
      call.highest_before = highest;
      if (!down) highest = std::max(highest, call.token);
      calls_.push_back(call);
      auto found = groups_.find(call.service);
      if (found != groups_.end()) group = found->second;
    }
    log_.write("failover call ", call.service, " to ", call.database,
               " holder ", call.holder, " token ", call.token, " highest seen ",
               call.highest_before, (down ? " (not answered)" : ""));
    if (observer_) observer_(call);
    if (down) continue;
    bool stale = checks_tokens_ && call.token < call.highest_before;
    if (stale || !group) {
      write_response(*caller, {409});
      continue;
    }
    std::this_thread::sleep_for(promote_);
    bool promoted = group->promote(call.database);
    if (promoted && promoted_) promoted_(*group, call.database);
    write_response(*caller, {promoted ? 200 : 409});
  }
}

}  // namespace review
