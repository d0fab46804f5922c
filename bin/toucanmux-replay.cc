#include <fstream>
#include <iostream>
#include <sstream>

#include "toucanmux/trace.h"

int main(int argc, char** argv) {
  int failures = 0;
  for (int i = 1; i < argc; ++i) {
    std::ifstream in(argv[i]);
    std::stringstream text;
    text << in.rdbuf();
    auto result = toucanmux::run_trace(text.str());
    if (!result.first_difference.empty()) ++failures;
    std::cout << argv[i] << ": " << result.steps << " steps, " << result.checks
              << " checks "
              << (result.first_difference.empty() ? "ok"
                                                  : result.first_difference)
              << "\n";
  }
  return failures == 0 ? 0 : 1;
}
