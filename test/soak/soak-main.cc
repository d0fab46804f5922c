#include <algorithm>
#include <iostream>
#include <string>

#include "process/command-line.h"
#include "proxy/event-loop.h"
#include "soak/soak-environment.h"

int main(int argc, char** argv) {
  using namespace toucanmux;
  return run_program("toucanmux-soak", [&] {
    std::string seed = "1";
    std::string seconds = "20";
    std::string instances = "4";
    soak::soak_plan plan;
    auto arguments = read_command_line(
        {"toucanmux-soak",
         "",
         {{"seed", "N", "seed of the injected faults", &seed, nullptr},
          {"seconds", "N", "duration of fault injection", &seconds, nullptr},
          {"instances", "N", "number of proxy processes", &instances, nullptr},
          {"folder", "DIR", "folder for the settings files", &plan.folder,
           nullptr}}},
        argc, argv);
    if (arguments.should_exit) return arguments.code;
    plan.seed = static_cast<std::uint32_t>(std::stoul(seed));
    plan.seconds = std::stoi(seconds);
    plan.instances = std::stoi(instances);
    plan.former_leaders_keep_running = plan.seed % 2 == 1;
    plan.caller_count = std::min(plan.instances * 6, soak::max_callers);
    event_loop loop;
    soak::soak_environment environment(loop, plan);
    return environment.run() ? exit_code::ok : exit_code::failed;
  });
}
