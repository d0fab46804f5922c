#pragma once

#include <fstream>
#include <mutex>
#include <string>

#include "toucanmux/trace.h"

namespace toucanmux {

/// Writes the events and actions of decision objects in the format of
/// `toucanmux-replay`. Does nothing until a file is set. Thread-safe.
class recorder {
 public:
  /// Starts to record to a file. Call it before other threads start.
  /// @throws settings_error if the file can't be written.
  void start(const std::string& path);
  bool active() const { return active_; }

  /// Records the construction of a decision object with its settings.
  template <class Decision>
  void record_construction(const std::string& id, std::string_view kind,
                           const typename Decision::settings& values) {
    if (!active_) return;
    write("new " + id + " " + std::string(kind) + " " +
          format_fields(to_fields(values)) + "\n");
  }

  /// Passes an event to a decision object; records the event and each action.
  template <class Decision>
  auto step(Decision& decision, const std::string& id, instant now,
            const typename Decision::event& event) {
    auto actions = decision.step(now, event);
    if (!active_) return actions;
    std::string text =
        line(std::to_string(now.time_since_epoch().count()) + " " + id,
             to_trace(event));
    for (const auto& action : actions) text += line("  >", to_trace(action));
    write(text + "  = " + std::to_string(actions.size()) + "\n");
    return actions;
  }

 private:
  static std::string line(const std::string& head,
                          const trace_message& message) {
    return head + " " + message.name + " " + format_fields(message.values) +
           "\n";
  }
  void write(const std::string& text);

  std::mutex mutex_;
  std::ofstream file_;
  bool active_ = false;
};

/// The recorder shared by the whole process.
recorder& process_recorder();

}  // namespace toucanmux
