#include "toucanmux/process/datagram.h"

#include <boost/crc.hpp>

#include "toucanmux/codec.h"

namespace toucanmux {

namespace {

constexpr std::uint32_t magic = 0x746d7831;  // "tmx1"

struct datagram_header {
  std::uint32_t magic_number = magic;
  std::uint16_t version = datagram_version;
  std::uint32_t checksum = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(magic_number, version, checksum);
  }
};

std::uint32_t checksum_of(std::span<const char> bytes) {
  boost::crc_32_type crc;
  crc.process_bytes(bytes.data(), bytes.size());
  return crc.checksum();
}

const std::size_t header_bytes = encode(datagram_header()).size();

}  // namespace

std::string pack(const datagram& message) {
  std::string body = encode(message);
  datagram_header header;
  header.checksum = checksum_of(body);
  std::string out = encode(header) + body;
  if (out.size() > datagram_limit_bytes) {
    throw protocol_error("datagram exceeds the size limit: split the message");
  }
  return out;
}

datagram unpack_datagram(std::span<const char> bytes) {
  if (bytes.size() < header_bytes)
    throw protocol_error("datagram shorter than its header");
  auto header = decode<datagram_header>(bytes.first(header_bytes));
  if (header.magic_number != magic)
    throw protocol_error("not a control datagram: wrong magic number");
  if (header.version != datagram_version) {
    throw protocol_error("unsupported datagram version " +
                         std::to_string(header.version) +
                         ": run the same version on all instances");
  }
  auto body = bytes.subspan(header_bytes);
  if (checksum_of(body) != header.checksum) {
    throw protocol_error("datagram checksum mismatch");
  }
  return decode<datagram>(body);
}

}  // namespace toucanmux
