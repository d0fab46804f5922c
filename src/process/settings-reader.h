#pragma once

#include <toml++/toml.h>

#include <cstdint>
#include <memory>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace toucanmux {

/// Reads one table of a TOML file. Every error is a settings_error with the
/// file, the line and how to correct it.
class settings_reader {
 public:
  /// Reads a whole file.
  static settings_reader open(const std::string& path);
  /// Reads from text; `path` is used in messages only.
  static settings_reader parse(std::string_view text, const std::string& path);

  /// A required string, not empty.
  std::string text(std::string_view key);
  std::string text(std::string_view key, std::string_view fallback);
  /// A required string of at least `bytes` bytes.
  std::string text_of_at_least(std::string_view key, std::size_t bytes);
  /// One of the words; the first if the key is absent.
  std::string choice(std::string_view key,
                     std::span<const std::string_view> words);
  /// A required whole number within [low, high].
  std::int64_t number(std::string_view key, std::int64_t low,
                      std::int64_t high);
  std::int64_t number(std::string_view key, std::int64_t low, std::int64_t high,
                      std::int64_t fallback);
  bool flag(std::string_view key, bool fallback);
  /// A required port; 0 lets the system choose one.
  std::uint16_t port(std::string_view key);
  /// A required IP address.
  std::string address(std::string_view key);
  /// A required table.
  settings_reader table(std::string_view key);
  /// An optional table; reads as empty if it is absent.
  settings_reader optional_table(std::string_view key);
  /// The tables of an array of tables; empty if it is absent.
  std::vector<settings_reader> tables(std::string_view key);

  /// Rejects keys that were not read. Call it after reading all settings.
  void finish() const;

 private:
  settings_reader(std::shared_ptr<const toml::table> root,
                  const toml::table* here, std::string path,
                  std::string prefix);

  const toml::node* find(std::string_view key);
  const toml::node& require_node(std::string_view key);
  [[noreturn]] void fail(const toml::node& at, std::string_view key,
                         std::string_view remedy) const;

  std::shared_ptr<const toml::table> root_;
  const toml::table* table_;
  std::string path_;
  std::string prefix_;
  std::set<std::string, std::less<>> read_keys_;
};

}  // namespace toucanmux
