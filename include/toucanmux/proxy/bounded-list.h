#pragma once

#include <cereal/cereal.hpp>
#include <cstdint>
#include <vector>

#include "toucanmux/error.h"

namespace toucanmux {

/// A list in a message from another process. Loading throws `protocol_error`
/// for a length above `MaxSize`, before any memory is allocated for the items.
template <class Item, std::uint32_t MaxSize>
struct bounded_list {
  std::vector<Item> items;

  template <class Archive>
  void save(Archive& archive) const {
    archive(static_cast<std::uint32_t>(items.size()));
    for (const auto& item : items) archive(item);
  }
  template <class Archive>
  void load(Archive& archive) {
    std::uint32_t count = 0;
    archive(count);
    if (count > MaxSize)
      throw protocol_error(
          "list in a message is longer than the protocol allows");
    items.resize(count);
    for (auto& item : items) archive(item);
  }
};

}  // namespace toucanmux
