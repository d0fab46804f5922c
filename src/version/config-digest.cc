#include "toucanmux/version/config-digest.h"

#include <array>
#include <charconv>

#include "toucanmux/hash.h"

namespace toucanmux {

namespace {

constexpr int number_base = 16;

std::uint64_t hash_of(std::string_view kind, std::string_view key,
                      std::uint64_t version) {
  return mix(mix(stable_hash(kind) ^ version) + stable_hash(key));
}

std::string format(std::uint64_t number) {
  std::array<char, 16> buffer{};
  auto end =
      std::to_chars(buffer.begin(), buffer.end(), number, number_base).ptr;
  return {buffer.begin(), end};
}

}  // namespace

void config_digest::add(std::string_view kind, std::string_view key,
                        std::uint64_t version) {
  version_sum += version;
  version_hash ^= hash_of(kind, key, version);
}

void config_digest::remove(std::string_view kind, std::string_view key,
                           std::uint64_t version) {
  version_sum -= version;
  version_hash ^= hash_of(kind, key, version);
}

std::string config_digest::text() const {
  return format(version_sum) + ":" + format(version_hash) + ":" +
         format(static_cast<std::uint64_t>(confirmation_age.count())) + ":" +
         format(watcher_id) + ":" + format(confirmation_number);
}

std::optional<config_digest> config_digest::parse(std::string_view text) {
  std::array<std::uint64_t, 5> numbers{};
  const char* position = text.data();
  const char* end = position + text.size();
  for (std::size_t i = 0; i < numbers.size(); ++i) {
    if (i > 0 && (position == end || *position++ != ':')) return std::nullopt;
    auto [next, ec] = std::from_chars(position, end, numbers[i], number_base);
    if (ec != std::errc()) return std::nullopt;
    position = next;
  }
  auto age = duration(static_cast<duration::rep>(numbers[2]));
  if (position != end || age < duration(0)) return std::nullopt;
  return config_digest{numbers[0], numbers[1], age, numbers[3], numbers[4]};
}

}  // namespace toucanmux
