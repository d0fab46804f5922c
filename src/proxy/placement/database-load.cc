#include "toucanmux/proxy/placement/database-load.h"

#include <algorithm>
#include <cmath>
#include <string>

#include "toucanmux/hash.h"

namespace toucanmux {

namespace {

using std::chrono::milliseconds;

// The fields of an entry from the lowest bit, and their widths in bits.
constexpr unsigned reference_bits = 24;
constexpr unsigned log_bits = 8;
constexpr unsigned rate_bits = 6;
constexpr unsigned reads_bits = 4;
constexpr unsigned age_bits = 8;
// Numbers are sent as logarithms: steps of 5% from 1/16 to 15,000.
constexpr double log_step = 0.05;
constexpr double log_resolution = 16;
constexpr duration age_step = milliseconds(10);

constexpr std::uint64_t max_of(unsigned bits) {
  return (std::uint64_t{1} << bits) - 1;
}

std::uint64_t to_code(double value, unsigned bits) {
  auto max = static_cast<double>(max_of(bits));
  // Written so that a value that is not a number becomes 0.
  if (!(value > 0)) return 0;
  return static_cast<std::uint64_t>(std::min(std::round(value), max));
}

std::uint64_t to_log(double value) {
  if (!(value > 0)) return 0;
  return to_code(std::log1p(value * log_resolution) / log_step, log_bits);
}

double from_log(std::uint64_t code) {
  return std::expm1(static_cast<double>(code) * log_step) / log_resolution;
}

double in_ms(duration time) {
  return std::chrono::duration<double, std::milli>(time).count();
}

duration from_ms(double ms) {
  return std::chrono::duration_cast<duration>(
      std::chrono::duration<double, std::milli>(ms));
}

// Writes and reads the fields in the same order.
class bit_writer {
 public:
  void put(std::uint64_t code, unsigned bits) {
    value_ |= (code & max_of(bits)) << used_;
    used_ += bits;
  }
  std::uint64_t value() const { return value_; }

 private:
  std::uint64_t value_ = 0;
  unsigned used_ = 0;
};

class bit_reader {
 public:
  explicit bit_reader(std::uint64_t value) : value_(value) {}
  std::uint64_t take(unsigned bits) {
    auto out = value_ & max_of(bits);
    value_ >>= bits;
    return out;
  }

 private:
  std::uint64_t value_;
};

double mean_of(double one, double one_weight, double other,
               double other_weight) {
  auto weight = one_weight + other_weight;
  if (weight <= 0) return 0;
  return (one * one_weight + other * other_weight) / weight;
}

// The geometric mean, so that a few false values do not dominate it.
void add_latency(database_load& sum, const database_load& other) {
  if (other.latency <= duration{0} || other.reads <= 0) return;
  if (sum.latency <= duration{0} || sum.reads <= 0) {
    sum.latency = other.latency;
    return;
  }
  sum.latency =
      from_ms(std::exp(mean_of(std::log(in_ms(sum.latency)), sum.reads,
                               std::log(in_ms(other.latency)), other.reads)));
}

}  // namespace

std::uint64_t database_load::packed() const {
  auto max_rate = static_cast<double>(max_of(rate_bits));
  bit_writer out;
  out.put(database, reference_bits);
  out.put(to_log(in_flight), log_bits);
  out.put(to_code(refused_rate * max_rate, rate_bits), rate_bits);
  out.put(to_code(failed_rate * max_rate, rate_bits), rate_bits);
  out.put(to_code(std::log2(1 + std::max(reads, 0.0)), reads_bits), reads_bits);
  out.put(to_log(in_ms(latency)), log_bits);
  out.put(to_code(std::ceil(in_ms(age) / in_ms(age_step)), age_bits), age_bits);
  return out.value();
}

database_load database_load::unpack(std::uint64_t bits) {
  auto max_rate = static_cast<double>(max_of(rate_bits));
  bit_reader in(bits);
  database_load out;
  out.database = static_cast<std::uint32_t>(in.take(reference_bits));
  out.in_flight = from_log(in.take(log_bits));
  out.refused_rate = static_cast<double>(in.take(rate_bits)) / max_rate;
  out.failed_rate = static_cast<double>(in.take(rate_bits)) / max_rate;
  // A read is either refused or failed.
  out.failed_rate = std::min(out.failed_rate, 1 - out.refused_rate);
  out.reads = std::exp2(static_cast<double>(in.take(reads_bits))) - 1;
  out.latency = from_ms(from_log(in.take(log_bits)));
  out.age = age_step * static_cast<duration::rep>(in.take(age_bits));
  return out;
}

std::uint32_t database_reference(std::string_view group,
                                 std::string_view database) {
  std::string name(group);
  name.append("/").append(database);
  return static_cast<std::uint32_t>(stable_hash(name) & max_of(reference_bits));
}

void add_load(database_load& sum, const database_load& other) {
  // The age is weighted by the load that it is the age of.
  sum.age = from_ms(mean_of(in_ms(sum.age), sum.in_flight, in_ms(other.age),
                            other.in_flight));
  sum.in_flight += other.in_flight;
  sum.refused_rate =
      mean_of(sum.refused_rate, sum.reads, other.refused_rate, other.reads);
  sum.failed_rate =
      mean_of(sum.failed_rate, sum.reads, other.failed_rate, other.reads);
  add_latency(sum, other);
  sum.reads += other.reads;
}

void subtract_load(database_load& sum, const database_load& part) {
  sum.in_flight = std::max(0.0, sum.in_flight - part.in_flight);
  auto rest = std::max(0.0, sum.reads - part.reads);
  auto without = [&](double whole, double own) {
    if (rest <= 0) return 0.0;
    return std::clamp((whole * sum.reads - own * part.reads) / rest, 0.0, 1.0);
  };
  sum.refused_rate = without(sum.refused_rate, part.refused_rate);
  sum.failed_rate = without(sum.failed_rate, part.failed_rate);
  if (rest <= 0) sum.latency = duration{0};
  sum.reads = rest;
}

}  // namespace toucanmux
