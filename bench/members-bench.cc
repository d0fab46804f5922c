// Drives the decisions of many members alone in one process and prints what
// they cost: `members-bench MEMBERS DOMAINS SECONDS`.
#include <malloc.h>
#include <sys/resource.h>

#include <cstdio>
#include <cstdlib>

#include "../test/member-fleet.h"
#include "toucanmux/process/rendezvous.h"

using namespace toucanmux;

namespace {

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

std::string plans() {
  return R"({"plans":[{"id":"gold","rate":1,"burst":1,"routes":[]}]})";
}

std::string teams(int change) {
  return R"({"teams":[{"id":"norte","plan":"gold","rate":)" +
         std::to_string(change + 1) + "}]}";
}

// The time from a write of the list of teams until it is in force everywhere.
duration time_to_force(member_fleet& fleet, int change) {
  auto start = fleet.now();
  auto version = fleet.write_object("lists", "teams", teams(change));
  while (fleet.members_without("lists/teams", version) > 0 &&
         fleet.now() - start < std::chrono::minutes(2)) {
    fleet.run_for(std::chrono::milliseconds(10));
  }
  return fleet.now() - start;
}

void print_rendezvous() {
  constexpr int count = 500;
  std::vector<member_id> pools;
  pools.reserve(count);
  for (int i = 0; i < count; ++i) {
    pools.emplace_back("domain-1-" + std::to_string(i) + "/pool");
  }
  constexpr int rounds = 2000;
  double start = processor_seconds();
  std::size_t sum = 0;
  for (int i = 0; i < rounds; ++i) {
    sum += choose_owners("database-" + std::to_string(i), pools, 3).size();
  }
  std::printf("rendezvous 500 pools: %.1f us a choice (%zu chosen)\n",
              (processor_seconds() - start) / rounds * 1e6, sum);
}

}  // namespace

int main(int argc, char** argv) {
  member_fleet::options options;
  options.members = argc > 1 ? std::strtoul(argv[1], nullptr, 10) : 12;
  options.domains = argc > 2 ? std::strtoul(argv[2], nullptr, 10) : 3;
  auto length = std::chrono::seconds(argc > 3 ? std::atoi(argv[3]) : 60);
  auto count = static_cast<double>(options.members);
  double memory = kibibytes_in_use();
  member_fleet fleet(options);
  fleet.write_object("lists", "plans", plans());
  fleet.write_object("lists", "teams", teams(0));
  fleet.start_all();
  auto start = fleet.now();
  while (!fleet.converged() && fleet.now() - start < std::chrono::minutes(5)) {
    fleet.run_for(std::chrono::seconds(1));
  }
  std::printf("%zu members in %zu domains: agreed after %.0f s%s\n",
              options.members, options.domains, seconds(fleet.now() - start),
              fleet.converged() ? "" : " (not)");
  fleet.run_for(std::chrono::seconds(30));

  fleet.counts() = {};
  double processor = processor_seconds();
  fleet.run_for(length);
  processor = processor_seconds() - processor;
  auto quiet = fleet.counts();
  double member_seconds = count * seconds(length);
  std::printf(
      "quiet: %.2f datagrams and %.0f bytes a member a second, largest %llu, "
      "%.1f us processor a member a second\n",
      static_cast<double>(quiet.datagrams) / member_seconds,
      static_cast<double>(quiet.datagram_bytes) / member_seconds,
      static_cast<unsigned long long>(quiet.largest_datagram_bytes),
      processor / member_seconds * 1e6);
  std::printf("platform: %.2f calls a second, %zu watches waiting\n",
              static_cast<double>(quiet.platform_calls) / seconds(length),
              fleet.waiting_watches());
  std::printf("memory: %.0f KiB a member\n",
              (kibibytes_in_use() - memory) / count);

  fleet.counts() = {};
  double total = 0;
  double worst = 0;
  constexpr int changes = 10;
  for (int i = 1; i <= changes; ++i) {
    double took = seconds(time_to_force(fleet, i));
    total += took;
    worst = std::max(worst, took);
    fleet.run_for(
        std::chrono::milliseconds(7200) -
        std::chrono::microseconds(static_cast<std::int64_t>(took * 1e6)));
  }
  std::printf(
      "change every 7.2 s: in force everywhere after %.2f s (mean), %.2f s "
      "(worst); %.0f bytes of datagrams and %.0f of fetches a member a "
      "second, %.2f platform calls a second\n",
      total / changes, worst,
      static_cast<double>(fleet.counts().datagram_bytes) / count /
          (changes * 7.2),
      static_cast<double>(fleet.counts().fetch_bytes) / count / (changes * 7.2),
      static_cast<double>(fleet.counts().platform_calls) / (changes * 7.2));
  std::printf(
      "seed %llu, broken: %s\n", static_cast<unsigned long long>(options.seed),
      fleet.violation().empty() ? "nothing" : fleet.violation().c_str());
  print_rendezvous();
}
