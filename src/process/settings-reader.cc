#include "process/settings-reader.h"

#include <QHostAddress>
#include <fstream>
#include <sstream>

#include "toucanmux/error.h"

namespace toucanmux {

settings_reader::settings_reader(std::shared_ptr<const toml::table> root,
                                 const toml::table* here, std::string path,
                                 std::string prefix)
    : root_(std::move(root)),
      table_(here),
      path_(std::move(path)),
      prefix_(std::move(prefix)) {}

settings_reader settings_reader::open(const std::string& path) {
  std::ifstream in(path);
  if (!in) {
    throw settings_error(path + ": can't be read: name an existing file");
  }
  std::stringstream text;
  text << in.rdbuf();
  return parse(text.str(), path);
}

settings_reader settings_reader::parse(std::string_view text,
                                       const std::string& path) {
  try {
    auto root = std::make_shared<const toml::table>(toml::parse(text, path));
    return {root, root.get(), path, ""};
  } catch (const toml::parse_error& e) {
    throw settings_error(path + ":" + std::to_string(e.source().begin.line) +
                         ": " + std::string(e.description()) +
                         ": correct the TOML syntax");
  }
}

const toml::node* settings_reader::find(std::string_view key) {
  read_keys_.emplace(key);
  return table_->get(key);
}

const toml::node& settings_reader::require_node(std::string_view key) {
  if (const auto* node = find(key)) return *node;
  fail(*table_, key, "add it");
}

void settings_reader::fail(const toml::node& at, std::string_view key,
                           std::string_view remedy) const {
  throw settings_error(path_ + ":" + std::to_string(at.source().begin.line) +
                       ": " + prefix_ + std::string(key) + ": " +
                       std::string(remedy));
}

std::string settings_reader::text(std::string_view key) {
  const auto& node = require_node(key);
  auto value = node.value_exact<std::string>();
  if (!value || value->empty()) fail(node, key, "write a text in quotes");
  return *value;
}

std::string settings_reader::text(std::string_view key,
                                  std::string_view fallback) {
  return find(key) == nullptr ? std::string(fallback) : text(key);
}

std::string settings_reader::text_of_at_least(std::string_view key,
                                              std::size_t bytes) {
  std::string value = text(key);
  if (value.size() >= bytes) return value;
  fail(require_node(key), key,
       "write at least " + std::to_string(bytes) + " bytes");
}

std::string settings_reader::choice(std::string_view key,
                                    std::span<const std::string_view> words) {
  std::string value = text(key, words.front());
  std::string known;
  for (auto word : words) {
    if (value == word) return value;
    known += known.empty() ? "" : ", ";
    known += word;
  }
  fail(require_node(key), key, "write one of " + known);
}

std::int64_t settings_reader::number(std::string_view key, std::int64_t low,
                                     std::int64_t high) {
  const auto& node = require_node(key);
  auto value = node.value_exact<std::int64_t>();
  if (value && *value >= low && *value <= high) return *value;
  fail(node, key,
       "write a whole number from " + std::to_string(low) + " to " +
           std::to_string(high));
}

std::int64_t settings_reader::number(std::string_view key, std::int64_t low,
                                     std::int64_t high, std::int64_t fallback) {
  return find(key) == nullptr ? fallback : number(key, low, high);
}

bool settings_reader::flag(std::string_view key, bool fallback) {
  const auto* node = find(key);
  if (node == nullptr) return fallback;
  auto value = node->value_exact<bool>();
  if (!value) fail(*node, key, "write true or false");
  return *value;
}

std::uint16_t settings_reader::port(std::string_view key) {
  return static_cast<std::uint16_t>(number(key, 0, 65535));
}

std::string settings_reader::address(std::string_view key) {
  std::string value = text(key);
  if (QHostAddress(QString::fromStdString(value)).isNull()) {
    fail(require_node(key), key, "write an IP address, such as \"127.0.0.1\"");
  }
  return value;
}

settings_reader settings_reader::table(std::string_view key) {
  const auto& node = require_node(key);
  if (!node.is_table()) fail(node, key, "write a table");
  return {root_, node.as_table(), path_, prefix_ + std::string(key) + "."};
}

settings_reader settings_reader::optional_table(std::string_view key) {
  static const toml::table empty;
  if (find(key) != nullptr) return table(key);
  return {root_, &empty, path_, prefix_ + std::string(key) + "."};
}

std::vector<settings_reader> settings_reader::tables(std::string_view key) {
  std::vector<settings_reader> out;
  const auto* node = find(key);
  if (node == nullptr) return out;
  if (!node->is_array_of_tables()) fail(*node, key, "write [[tables]]");
  for (const auto& item : *node->as_array()) {
    out.push_back(settings_reader(root_, item.as_table(), path_,
                                  prefix_ + std::string(key) + "."));
  }
  return out;
}

void settings_reader::finish() const {
  for (const auto& [key, node] : *table_) {
    if (!read_keys_.contains(key.str())) {
      fail(node, key.str(), "no such setting: remove it or correct its name");
    }
  }
}

}  // namespace toucanmux
