#pragma once

#include <memory>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "toucanmux/fields.h"

/// Replay of recorded events through decision classes.
///
/// A decision class has `event` and `action` variants, is built from a
/// `settings` message, and has `step(instant, const event&)`, which returns a
/// list of actions. Every alternative has `static constexpr std::string_view
/// name` and a `serialize` function.
///
/// A trace file has one line per step or check:
///
///     # A comment.
///     new pool-a seat cap=100 rate=50
///     1500 pool-a grant_request team=norte tokens=2
///       > grant team=norte
///       ! refuse
///
/// Times are in microseconds. `new NAME KIND fields` builds a decision object.
/// Checks apply to the actions of the last step: `>` expects an action, `!`
/// expects that there is no such action, and `= N` expects exactly N actions.
/// Only the fields given are compared. `>` lines match the actions in order.
namespace toucanmux {

/// The text form of an event or action: its name and its fields.
struct trace_message {
  std::string name;
  fields values;

  /// True if `other` has the same name and contains all fields of this message
  /// with the same values.
  bool matches(const trace_message& other) const;
};

/// A decision object of any class that takes and returns events and actions in
/// their text form.
class traced_decision {
 public:
  virtual ~traced_decision() = default;
  /// @throws trace_error if the decision class has no event of that name or a
  /// number can't be parsed.
  virtual std::vector<trace_message> step(instant now,
                                          const trace_message& event) = 0;
};

/// Returns the text form of the alternative that `message` holds.
template <class Variant>
trace_message to_trace(const Variant& message) {
  return std::visit(
      [](const auto& alternative) {
        using type = std::decay_t<decltype(alternative)>;
        return trace_message{std::string(type::name), to_fields(alternative)};
      },
      message);
}

namespace detail {

template <class Variant, std::size_t Index = 0>
Variant from_trace(const trace_message& message) {
  if constexpr (Index == std::variant_size_v<Variant>) {
    throw trace_error("unknown event " + message.name);
  } else {
    using type = std::variant_alternative_t<Index, Variant>;
    if (type::name == message.name) return from_fields<type>(message.values);
    return from_trace<Variant, Index + 1>(message);
  }
}

template <class Decision>
class traced : public traced_decision {
 public:
  explicit traced(const fields& settings)
      : decision_(from_fields<typename Decision::settings>(settings)) {}

  std::vector<trace_message> step(instant now,
                                  const trace_message& event) override {
    auto typed = from_trace<typename Decision::event>(event);
    std::vector<trace_message> out;
    for (const auto& action : decision_.step(now, typed)) {
      out.push_back(to_trace(action));
    }
    return out;
  }

 private:
  Decision decision_;
};

}  // namespace detail

/// Builds a decision object from the fields of its settings.
/// @throws trace_error if a number can't be parsed.
template <class Decision>
std::unique_ptr<traced_decision> make_traced(const fields& settings) {
  return std::make_unique<detail::traced<Decision>>(settings);
}

/// The result of running one trace.
struct trace_result {
  std::size_t steps = 0;
  std::size_t checks = 0;
  /// The first failed check with its line number; empty if all checks passed.
  /// The run stops there.
  std::string first_difference;
};

/// Runs the text of a trace file.
/// @throws trace_error if a line can't be parsed.
trace_result run_trace(std::string_view text);

}  // namespace toucanmux
