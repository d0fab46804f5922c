#define BOOST_TEST_MODULE stream_socket
#include "connection/stream-socket.h"

#include <QCoreApplication>
#include <boost/test/unit_test.hpp>

#include "standin/slow-peer.h"

using namespace toucanmux;
using namespace toucanmux::standin;

namespace {

constexpr std::size_t part_bytes = 512;

struct application {
  int count = 0;
  QCoreApplication core{count, nullptr};
};

}  // namespace

BOOST_TEST_GLOBAL_FIXTURE(application);

// Guards against a close with unread bytes, which resets the connection and
// destroys sent bytes on their way.
BOOST_AUTO_TEST_CASE(a_close_with_unread_bytes_delivers_what_was_sent) {
  slow_peer peer;
  stream_socket socket(peer.other_end());
  const std::string part(part_bytes, 'x');
  std::string sent;
  while (!socket.has_unsent()) {
    socket.write(part);
    sent += part;
  }
  peer.write("unread");
  socket.abort();
  peer.read_to_end();
  // Only the last part may have been left in the process.
  BOOST_TEST(peer.received().size() >= sent.size() - part_bytes);
  BOOST_TEST(!peer.reset());
}
