#define BOOST_TEST_MODULE line_buffer
#include "proxy/line-buffer.h"

#include <boost/test/unit_test.hpp>

using namespace toucanmux;

// Guards against losing buffered lines without counting them: an overflow
// discarded all of them but the first and was counted as one.
BOOST_AUTO_TEST_CASE(each_line_is_kept_or_counted) {
  line_buffer buffer(8);
  buffer.append("one");
  buffer.append("two");
  buffer.append("x");
  buffer.append("y");
  BOOST_TEST(buffer.pending() == "one\ntwo\n");
  BOOST_TEST(buffer.dropped() == 2U);
  // A line that is partly accepted is completed first.
  buffer.consume(5);
  buffer.append("z");
  BOOST_TEST(buffer.pending() == "wo\nz\n");
  BOOST_TEST(buffer.dropped() == 2U);
}
