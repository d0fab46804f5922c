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

std::string take_word(std::string_view& rest) {
  auto start = rest.find_first_not_of(' ');
  if (start == std::string_view::npos) return {};
  auto end = rest.find(' ', start);
  if (end == std::string_view::npos) end = rest.size();
  std::string word(rest.substr(start, end - start));
  rest.remove_prefix(end);
  return word;
}

trace_message take_message(std::string_view rest) {
  trace_message message;
  message.name = take_word(rest);
  message.values = parse_fields(rest);
  return message;
}

std::string describe(const std::vector<trace_message>& actions) {
  std::string out;
  for (const auto& action : actions) {
    out += "\n    " + action.name + " " + format_fields(action.values);
  }
  return out.empty() ? "\n    nothing" : out;
}

// Plays one file; a line at a time, with the last step's actions kept.
class player {
 public:
  trace_result play(std::string_view text) {
    std::istringstream in{std::string(text)};
    std::string line;
    while (result_.first_difference.empty() && std::getline(in, line)) {
      ++line_;
      try {
        take(line);
      } catch (const trace_error& e) {
        throw trace_error("line " + std::to_string(line_) + ": " + e.what());
      }
    }
    return result_;
  }

 private:
  void take(std::string_view rest) {
    std::string word = take_word(rest);
    if (word.empty() || word[0] == '#') return;
    if (word == "new") return build(rest);
    if (word == ">") return must(take_message(rest));
    if (word == "!") return must_not(take_message(rest));
    if (word == "=") return count(take_word(rest));
    step(word, rest);
  }

  void build(std::string_view rest) {
    std::string id = take_word(rest);
    std::string kind = take_word(rest);
    for (const auto& known : decision_kinds()) {
      if (known.name != kind) continue;
      decisions_[id] = known.make(parse_fields(rest));
      return;
    }
    throw trace_error("no decision kind " + kind);
  }

  void step(const std::string& time, std::string_view rest) {
    instant now{duration(detail::parse_integer(time))};
    std::string id = take_word(rest);
    auto it = decisions_.find(id);
    if (it == decisions_.end()) {
      throw trace_error("no decision " + id + ": build it with new");
    }
    actions_ = it->second->step(now, take_message(rest));
    next_ = 0;
    ++result_.steps;
  }

  void must(const trace_message& expected) {
    ++result_.checks;
    for (; next_ < actions_.size(); ++next_) {
      if (!expected.matches(actions_[next_])) continue;
      ++next_;
      return;
    }
    differ("must follow: " + expected.name + " " +
           format_fields(expected.values));
  }

  void must_not(const trace_message& expected) {
    ++result_.checks;
    bool found = std::any_of(
        actions_.begin(), actions_.end(),
        [&](const auto& action) { return expected.matches(action); });
    if (!found) return;
    differ("must not follow: " + expected.name + " " +
           format_fields(expected.values));
  }

  void count(const std::string& number) {
    ++result_.checks;
    auto expected = static_cast<std::size_t>(detail::parse_integer(number));
    if (actions_.size() != expected) differ("actions expected: " + number);
  }

  void differ(const std::string& what) {
    result_.first_difference = "line " + std::to_string(line_) + ": " + what +
                               "\n  found:" + describe(actions_);
  }

  trace_result result_;
  std::size_t line_ = 0;
  std::unordered_map<std::string, std::unique_ptr<traced_decision>> decisions_;
  std::vector<trace_message> actions_;
  std::size_t next_ = 0;
};

}  // namespace

trace_result run_trace(std::string_view text) { return player().play(text); }

}  // namespace toucanmux
