#include "toucanmux/decision-kinds.h"

#include "toucanmux/process/config-follower.h"
#include "toucanmux/process/drain.h"
#include "toucanmux/process/failure-detector.h"
#include "toucanmux/process/fair-queue.h"
#include "toucanmux/process/membership.h"
#include "toucanmux/process/position-watch.h"
#include "toucanmux/process/promoter.h"
#include "toucanmux/process/seat-lease.h"
#include "toucanmux/process/seat.h"
#include "toucanmux/process/team-bucket.h"
#include "toucanmux/request/position-check.h"
#include "toucanmux/request/request-attempts.h"
#include "toucanmux/request/retry-budget.h"

namespace toucanmux {

namespace {

constexpr decision_kind kinds[] = {
    {"config_follower", make_traced<config_follower>},
    {"drain", make_traced<drain>},
    {"failure_detector", make_traced<failure_detector>},
    {"fair_queue", make_traced<fair_queue>},
    {"membership", make_traced<membership>},
    {"position_check", make_traced<position_check>},
    {"position_watch", make_traced<position_watch>},
    {"promoter", make_traced<promoter>},
    {"request_attempts", make_traced<request_attempts>},
    {"retry_budget", make_traced<retry_budget>},
    {"seat", make_traced<seat>},
    {"seat_lease", make_traced<seat_lease>},
    {"team_bucket", make_traced<team_bucket>},
};

}  // namespace

std::span<const decision_kind> decision_kinds() { return kinds; }

}  // namespace toucanmux
