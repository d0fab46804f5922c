#pragma once

#include <cstdint>
#include <string_view>

#include "toucanmux/core.h"

namespace toucanmux {

/// The load of one database and the outcomes of its reads, as one instance or
/// several together see them.
struct database_load {
  /// By `database_reference`.
  std::uint32_t database = 0;
  double in_flight = 0;     ///< Mean number of statements in progress.
  double refused_rate = 0;  ///< Share of the reads that were refused, 0 to 1.
  double failed_rate = 0;   ///< Share of the reads that failed, 0 to 1.
  double reads = 0;         ///< Number of reads that the rates stand for.
  duration latency{0};      ///< Mean response time of reads; 0 if unknown.
  duration age{0};          ///< Of the information when it was sent.

  /// The eight bytes of the entry. Values out of range are clamped.
  std::uint64_t packed() const;
  static database_load unpack(std::uint64_t bits);

  template <class Archive>
  std::uint64_t save_minimal(const Archive&) const {
    return packed();
  }
  template <class Archive>
  void load_minimal(const Archive&, const std::uint64_t& bits) {
    *this = unpack(bits);
  }
};

/// Identifies a database in an entry: low bits of a stable hash. Two of 60
/// databases have the same bits with a probability of 0.0001; their loads are
/// then added.
std::uint32_t database_reference(std::string_view group,
                                 std::string_view database);

/// Adds the reads of `other` to the rates, and the loads.
void add_load(database_load& sum, const database_load& other);
/// Removes `part` from a sum that contains it.
void subtract_load(database_load& sum, const database_load& part);

}  // namespace toucanmux
