// Simulates the membership logic of many members in one process and prints its
// cost: `members-bench MEMBERS DOMAINS SECONDS`.
#include <malloc.h>
#include <sys/resource.h>

#include <cstdio>
#include <cstdlib>

#include "../test/member-fleet.h"
#include "toucanmux/process/rendezvous.h"

using namespace toucanmux;

namespace {

// Processor time that the process has used so far.
double processor_seconds() {
  rusage used{};
  getrusage(RUSAGE_SELF, &used);
  return static_cast<double>(used.ru_utime.tv_sec + used.ru_stime.tv_sec) +
         static_cast<double>(used.ru_utime.tv_usec + used.ru_stime.tv_usec) /
             1e6;
}

double kibibytes_in_use() {
  return static_cast<double>(mallinfo2().uordblks) / 1024;
}

double seconds(duration time) {
  return std::chrono::duration<double>(time).count();
}

std::string plans_document() {
  return R"({"plans":[{"id":"gold","rate":1,"burst":1,"routes":[]}]})";
}

std::string teams_document(int change_number) {
  return R"({"teams":[{"id":"norte","plan":"gold","rate":)" +
         std::to_string(change_number + 1) + "}]}";
}

// Returns the time from a write of the team list until every member has applied
// it.
duration time_to_apply_everywhere(member_fleet& fleet, int change_number) {
  auto start = fleet.now();
  auto version =
      fleet.write_object("lists", "teams", teams_document(change_number));
  while (fleet.members_without("lists/teams", version) > 0 &&
         fleet.now() - start < std::chrono::minutes(2)) {
    fleet.run_for(std::chrono::milliseconds(10));
  }
  return fleet.now() - start;
}

void print_rendezvous() {
  constexpr int pool_count = 500;
  std::vector<member_id> pools;
  pools.reserve(pool_count);
  for (int i = 0; i < pool_count; ++i) {
    pools.emplace_back("domain-1-" + std::to_string(i) + "/pool");
  }
  constexpr int rounds = 2000;
  double start = processor_seconds();
  std::size_t sum = 0;
  for (int i = 0; i < rounds; ++i) {
    sum += choose_owners("database-" + std::to_string(i), pools, 3).size();
  }
  std::printf("rendezvous 500 pools: %.1f us per choice (%zu chosen)\n",
              (processor_seconds() - start) / rounds * 1e6, sum);
}

}  // namespace

int main(int argc, char** argv) {
  member_fleet::options options;
  options.members = argc > 1 ? std::strtoul(argv[1], nullptr, 10) : 12;
  options.domains = argc > 2 ? std::strtoul(argv[2], nullptr, 10) : 3;
  auto length = std::chrono::seconds(argc > 3 ? std::atoi(argv[3]) : 60);
  auto member_count = static_cast<double>(options.members);
  double memory = kibibytes_in_use();
  member_fleet fleet(options);
  fleet.write_object("lists", "plans", plans_document());
  fleet.write_object("lists", "teams", teams_document(0));
  fleet.start_all();
  auto start = fleet.now();
  while (!fleet.converged() && fleet.now() - start < std::chrono::minutes(5)) {
    fleet.run_for(std::chrono::seconds(1));
  }
  std::printf("%zu members in %zu domains: converged after %.0f s%s\n",
              options.members, options.domains, seconds(fleet.now() - start),
              fleet.converged() ? "" : " (not converged)");
  fleet.run_for(std::chrono::seconds(30));

  fleet.counts() = {};
  double processor_time = processor_seconds();
  fleet.run_for(length);
  processor_time = processor_seconds() - processor_time;
  auto idle_counters = fleet.counts();
  double member_seconds = member_count * seconds(length);
  std::printf(
      "idle: %.2f datagrams and %.0f bytes per member and second, "
      "largest datagram %llu bytes, %.1f us of processor time per member and "
      "second\n",
      static_cast<double>(idle_counters.datagrams) / member_seconds,
      static_cast<double>(idle_counters.datagram_bytes) / member_seconds,
      static_cast<unsigned long long>(idle_counters.largest_datagram_bytes),
      processor_time / member_seconds * 1e6);
  std::printf(
      "platform: %.2f calls per second, %zu pending watches\n",
      static_cast<double>(idle_counters.platform_calls) / seconds(length),
      fleet.waiting_watches());
  std::printf("memory: %.0f KiB per member\n",
              (kibibytes_in_use() - memory) / member_count);

  fleet.counts() = {};
  double total = 0;
  double worst = 0;
  constexpr int changes = 10;
  for (int i = 1; i <= changes; ++i) {
    double elapsed = seconds(time_to_apply_everywhere(fleet, i));
    total += elapsed;
    worst = std::max(worst, elapsed);
    fleet.run_for(
        std::chrono::milliseconds(7200) -
        std::chrono::microseconds(static_cast<std::int64_t>(elapsed * 1e6)));
  }
  std::printf(
      "change every 7.2 s: applied everywhere after %.2f s (mean), %.2f s "
      "(worst); %.0f bytes of datagrams and %.0f of fetches per member and "
      "second, %.2f platform calls per second\n",
      total / changes, worst,
      static_cast<double>(fleet.counts().datagram_bytes) / member_count /
          (changes * 7.2),
      static_cast<double>(fleet.counts().fetch_bytes) / member_count /
          (changes * 7.2),
      static_cast<double>(fleet.counts().platform_calls) / (changes * 7.2));
  std::printf(
      "seed %llu, violated: %s\n",
      static_cast<unsigned long long>(options.seed),
      fleet.violation().empty() ? "nothing" : fleet.violation().c_str());
  print_rendezvous();
}
