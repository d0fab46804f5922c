#pragma once

#include <memory>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "toucanmux/fields.h"

/// Recorded events of decision classes, and how they are run again.
///
/// A decision class has `event` and `action` variants, is built from a
/// `settings` message, and has `std::vector<action> step(instant, const
/// event&)`. Every alternative has `static constexpr std::string_view name`
/// and a `serialize`.
///
/// A trace file has one line per step:
///
///     # A comment.
///     new pool-a seat cap=100 rate=50
///     1500 pool-a grant_request team=norte tokens=2
///       > grant team=norte
///       ! refuse
///
/// Times are microseconds. `new NAME KIND fields` builds a decision. `>` must
/// follow from the step, `!` must not; only the fields given are compared, and
/// `>` lines match the step's actions in order. `= N` gives the number of
/// actions exactly.
namespace toucanmux {

/// An event or action by name, with its fields.
struct trace_message {
  std::string name;
  fields values;

  /// True if `other` has this name and every field given here.
  bool matches(const trace_message& other) const;
};

/// A decision behind text events, so that one player serves all kinds.
class traced_decision {
 public:
  virtual ~traced_decision() = default;
  /// @throws trace_error if the decision has no event of that name.
  virtual std::vector<trace_message> step(instant now,
                                          const trace_message& event) = 0;
};

/// The text form of whichever alternative `message` holds.
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
    throw trace_error("no event named " + message.name);
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

/// Builds a decision from its trace settings.
template <class Decision>
std::unique_ptr<traced_decision> make_traced(const fields& settings) {
  return std::make_unique<detail::traced<Decision>>(settings);
}

/// The outcome of one trace.
struct trace_result {
  std::size_t steps = 0;
  std::size_t checks = 0;
  std::string
      first_difference;  ///< The first one, with its line; empty if none.
};

/// Runs a trace's text.
/// @throws trace_error if a line can't be read.
trace_result run_trace(std::string_view text);

}  // namespace toucanmux
