#pragma once

#include <charconv>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <type_traits>
#include <vector>

#include "toucanmux/core.h"
#include "toucanmux/error.h"

/// Conversion of messages to and from flat text fields such as
/// `team=norte grants.0.tokens=2.5`, for traces and the timeline.
namespace toucanmux {

/// The fields of one message, by dotted path.
using fields = std::map<std::string, std::string, std::less<>>;

/// Formats `values` as `path=value` words. Values that are empty or contain
/// spaces, quotes, backslashes or line breaks are quoted.
std::string format_fields(const fields& values);

/// Parses the output of `format_fields`.
/// @throws trace_error if a word has no `=` or a quote isn't closed.
fields parse_fields(std::string_view text);

namespace detail {

template <class T>
struct is_vector : std::false_type {};
template <class T, class A>
struct is_vector<std::vector<T, A>> : std::true_type {};

template <class T>
struct is_name : std::false_type {};
template <class Tag>
struct is_name<name<Tag>> : std::true_type {};

inline std::string join(std::string_view prefix, std::string_view key) {
  if (prefix.empty()) return std::string(key);
  return std::string(prefix) + "." + std::string(key);
}

std::string format_number(double value);
double parse_number(std::string_view text);
std::int64_t parse_integer(std::string_view text);

/// An archive that collects the members named by a message's `serialize`.
class field_writer {
 public:
  explicit field_writer(fields& out) : out_(out) {}

  template <class... Pairs>
  void operator()(const Pairs&... pairs) {
    (put(join(prefix_, pairs.name), pairs.value), ...);
  }

 private:
  template <class T>
  void put(const std::string& path, T& value) {
    using type = std::remove_cvref_t<T>;
    if constexpr (std::is_same_v<type, bool>) {
      out_[path] = value ? "true" : "false";
    } else if constexpr (std::is_enum_v<type>) {
      out_[path] = std::to_string(static_cast<std::int64_t>(value));
    } else if constexpr (std::is_floating_point_v<type>) {
      out_[path] = format_number(value);
    } else if constexpr (std::is_integral_v<type>) {
      out_[path] = std::to_string(value);
    } else if constexpr (std::is_same_v<type, duration>) {
      out_[path] = std::to_string(value.count());
    } else if constexpr (std::is_same_v<type, instant>) {
      out_[path] = std::to_string(value.time_since_epoch().count());
    } else if constexpr (std::is_same_v<type, std::string>) {
      out_[path] = value;
    } else if constexpr (is_name<type>::value) {
      out_[path] = value.value;
    } else if constexpr (is_vector<type>::value) {
      std::size_t index = 0;
      for (auto& item : value) put(join(path, std::to_string(index++)), item);
    } else {
      std::string outer = std::exchange(prefix_, path);
      value.serialize(*this);
      prefix_ = outer;
    }
  }

  fields& out_;
  std::string prefix_;
};

/// An archive that sets the members named by a message's `serialize` for which
/// there are fields.
class field_reader {
 public:
  explicit field_reader(const fields& in) : in_(in) {}

  template <class... Pairs>
  void operator()(Pairs&&... pairs) {
    (get(join(prefix_, pairs.name), pairs.value), ...);
  }

 private:
  bool has(const std::string& path) const {
    auto it = in_.lower_bound(path);
    return it != in_.end() &&
           (it->first == path || it->first.starts_with(path + "."));
  }

  template <class T>
  void get(const std::string& path, T& value) {
    if (!has(path)) return;
    if constexpr (is_vector<T>::value) {
      for (std::size_t i = 0; has(join(path, std::to_string(i))); ++i) {
        get(join(path, std::to_string(i)), value.emplace_back());
      }
    } else if constexpr (std::is_same_v<T, std::string>) {
      value = in_.at(path);
    } else if constexpr (is_name<T>::value) {
      value.value = in_.at(path);
    } else if constexpr (std::is_same_v<T, bool>) {
      value = in_.at(path) == "true";
    } else if constexpr (std::is_floating_point_v<T>) {
      value = static_cast<T>(parse_number(in_.at(path)));
    } else if constexpr (std::is_integral_v<T> || std::is_enum_v<T>) {
      value = static_cast<T>(parse_integer(in_.at(path)));
    } else if constexpr (std::is_same_v<T, duration>) {
      value = duration(parse_integer(in_.at(path)));
    } else if constexpr (std::is_same_v<T, instant>) {
      value = instant(duration(parse_integer(in_.at(path))));
    } else {
      std::string outer = std::exchange(prefix_, path);
      value.serialize(*this);
      prefix_ = outer;
    }
  }

  const fields& in_;
  std::string prefix_;
};

}  // namespace detail

/// Returns the fields of a message that has a `serialize` function.
template <class Message>
fields to_fields(const Message& message) {
  fields out;
  detail::field_writer writer(out);
  // serialize also reads, so it isn't const; field_writer changes nothing.
  const_cast<Message&>(message).serialize(writer);
  return out;
}

/// Builds a message from `values`. Members without a field keep their defaults.
/// @throws trace_error if a number can't be parsed.
template <class Message>
Message from_fields(const fields& values) {
  Message message;
  detail::field_reader reader(values);
  message.serialize(reader);
  return message;
}

}  // namespace toucanmux
