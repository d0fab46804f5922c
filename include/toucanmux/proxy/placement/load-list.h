#pragma once

#include <algorithm>
#include <cereal/cereal.hpp>
#include <cstdint>
#include <optional>
#include <vector>

#include "toucanmux/error.h"
#include "toucanmux/proxy/placement/database-load.h"

namespace toucanmux {

/// The loads in a report. No list says nothing about the loads; an empty list
/// says that no database was used. One byte if there is no list.
struct load_list {
  static constexpr std::size_t max_size = 64;

  std::optional<std::vector<database_load>> items;

  /// Size of the encoded entries.
  std::size_t bytes() const { return items ? items->size() * 8 : 0; }

  template <class Archive>
  void save(Archive& archive) const {
    auto count = items ? std::min(items->size(), max_size) : 0;
    archive(static_cast<std::uint8_t>(items ? count + 1 : 0));
    for (std::size_t i = 0; i < count; ++i) archive((*items)[i]);
  }
  template <class Archive>
  void load(Archive& archive) {
    std::uint8_t code = 0;
    archive(code);
    items.reset();
    if (code == 0) return;
    if (code > max_size + 1)
      throw protocol_error("more loads than the protocol allows");
    items.emplace(code - std::size_t{1});
    for (auto& item : *items) archive(item);
  }
};

}  // namespace toucanmux
