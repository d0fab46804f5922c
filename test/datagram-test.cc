#define BOOST_TEST_MODULE datagram
#include "toucanmux/process/datagram.h"

#include <boost/test/unit_test.hpp>

#include "toucanmux/error.h"

using namespace toucanmux;

BOOST_AUTO_TEST_CASE(unpacking_restores_the_packed_message) {
  datagram sent{control_part::limits, member_id("norte-1/entry"), 7, 0,
                "grant"};
  auto unpacked = unpack_datagram(pack(sent));
  BOOST_TEST(unpacked.from.value == "norte-1/entry");
  BOOST_TEST(unpacked.incarnation == 7);
  BOOST_TEST(unpacked.payload == "grant");
}

BOOST_AUTO_TEST_CASE(corrupt_and_truncated_datagrams_are_rejected) {
  auto bytes = pack(datagram{control_part::limits, member_id("a"), 1, 0, "x"});
  for (std::size_t i = 0; i < bytes.size(); ++i) {
    auto noisy = bytes;
    noisy[i] = static_cast<char>(noisy[i] ^ 0x40);
    BOOST_CHECK_THROW(unpack_datagram(noisy), protocol_error);
    BOOST_CHECK_THROW(unpack_datagram(std::span(bytes).first(i)),
                      protocol_error);
  }
}

BOOST_AUTO_TEST_CASE(an_oversized_datagram_is_rejected) {
  datagram large{control_part::limits, member_id("a"), 1, 0,
                 std::string(datagram_limit_bytes, 'x')};
  BOOST_CHECK_THROW(pack(large), protocol_error);
}
