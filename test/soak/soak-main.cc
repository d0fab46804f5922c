#include <iostream>
#include <string>

#include "process/command-line.h"
#include "proxy/event-loop.h"
#include "soak/soak-world.h"

int main(int argc, char** argv) {
  using namespace toucanmux;
  return run_program("toucanmux-soak", [&] {
    std::string seed = "1";
    std::string seconds = "20";
    std::string instances = "4";
    soak::soak_plan plan;
    auto words = read_command_line(
        {"toucanmux-soak",
         "",
         {{"seed", "N", "decides the faults", &seed, nullptr},
          {"seconds", "N", "how long faults come", &seconds, nullptr},
          {"instances", "N", "proxy processes", &instances, nullptr},
          {"folder", "DIR", "where settings are written", &plan.folder,
           nullptr}}},
        argc, argv);
    if (words.should_exit) return words.code;
    plan.seed = static_cast<std::uint32_t>(std::stoul(seed));
    plan.seconds = std::stoi(seconds);
    plan.instances = std::stoi(instances);
    plan.leaders_go_on = plan.seed % 2 == 1;
    plan.callers = plan.instances * 6;
    event_loop loop;
    soak::soak_world world(loop, plan);
    return world.run() ? exit_code::ok : exit_code::failed;
  });
}
