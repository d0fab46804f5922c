#include "toucanmux/trace.h"

#include <algorithm>
#include <sstream>
#include <unordered_map>

#include "toucanmux/decision-kinds.h"

namespace toucanmux {

bool trace_message::matches(const trace_message& other) const {
  if (name != other.name) return false;
  return std::all_of(values.begin(), values.end(), [&](const auto& field) {
    auto it = other.values.find(field.first);
    return it != other.values.end() && it->second == field.second;
  });
}

namespace {

std::string read_word(std::string_view& rest) {
  auto start = rest.find_first_not_of(' ');
  if (start == std::string_view::npos) return {};
  auto end = rest.find(' ', start);
  if (end == std::string_view::npos) end = rest.size();
  std::string word(rest.substr(start, end - start));
  rest.remove_prefix(end);
  return word;
}

trace_message read_message(std::string_view rest) {
  trace_message message;
  message.name = read_word(rest);
  message.values = parse_fields(rest);
  return message;
}

std::string format_actions(const std::vector<trace_message>& actions) {
  std::string out;
  for (const auto& action : actions) {
    out += "\n    " + action.name + " " + format_fields(action.values);
  }
  return out.empty() ? "\n    none" : out;
}

// Runs one trace line by line. Keeps the actions of the last step, to which
// the checks apply.
class trace_player {
 public:
  trace_result play(std::string_view text) {
    std::istringstream in{std::string(text)};
    std::string line;
    while (result_.first_difference.empty() && std::getline(in, line)) {
      ++line_number_;
      try {
        run_line(line);
      } catch (const trace_error& e) {
        throw trace_error("line " + std::to_string(line_number_) + ": " +
                          e.what());
      }
    }
    return result_;
  }

 private:
  void run_line(std::string_view rest) {
    std::string word = read_word(rest);
    if (word.empty() || word[0] == '#') return;
    if (word == "new") return build_decision(rest);
    if (word == ">") return expect_action(read_message(rest));
    if (word == "!") return expect_no_action(read_message(rest));
    if (word == "=") return expect_count(read_word(rest));
    step(word, rest);
  }

  void build_decision(std::string_view rest) {
    std::string id = read_word(rest);
    std::string kind = read_word(rest);
    for (const auto& registered : decision_kinds()) {
      if (registered.name != kind) continue;
      decisions_[id] = registered.make(parse_fields(rest));
      return;
    }
    throw trace_error("unknown decision kind " + kind);
  }

  void step(const std::string& time, std::string_view rest) {
    instant now{duration(detail::parse_integer(time))};
    std::string id = read_word(rest);
    auto it = decisions_.find(id);
    if (it == decisions_.end()) {
      throw trace_error("unknown decision " + id + ": build it with new");
    }
    actions_ = it->second->step(now, read_message(rest));
    next_action_ = 0;
    ++result_.steps;
  }

  void expect_action(const trace_message& expected) {
    ++result_.checks;
    for (; next_action_ < actions_.size(); ++next_action_) {
      if (!expected.matches(actions_[next_action_])) continue;
      ++next_action_;
      return;
    }
    fail("expected action is missing: " + expected.name + " " +
         format_fields(expected.values));
  }

  void expect_no_action(const trace_message& expected) {
    ++result_.checks;
    bool found = std::any_of(
        actions_.begin(), actions_.end(),
        [&](const auto& action) { return expected.matches(action); });
    if (!found) return;
    fail("unexpected action: " + expected.name + " " +
         format_fields(expected.values));
  }

  void expect_count(const std::string& number) {
    ++result_.checks;
    auto expected = static_cast<std::size_t>(detail::parse_integer(number));
    if (actions_.size() != expected) fail("expected action count: " + number);
  }

  void fail(const std::string& difference) {
    result_.first_difference =
        "line " + std::to_string(line_number_) + ": " + difference +
        "\n  actions of the step:" + format_actions(actions_);
  }

  trace_result result_;
  std::size_t line_number_ = 0;
  std::unordered_map<std::string, std::unique_ptr<traced_decision>> decisions_;
  std::vector<trace_message> actions_;
  std::size_t next_action_ = 0;
};

}  // namespace

trace_result run_trace(std::string_view text) {
  return trace_player().play(text);
}

}  // namespace toucanmux
