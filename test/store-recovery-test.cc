#define BOOST_TEST_MODULE store_recovery
#include "toucanmux/proxy/store-recovery.h"

#include <boost/test/unit_test.hpp>
#include <vector>

#include "toucanmux/proxy/store-generation.h"

using namespace toucanmux;
using namespace std::chrono_literals;

namespace {

constexpr instant start(100s);

/// An instance that saw the new generation, without a base, at `start`.
struct restored_instance {
  restored_instance() { recovery.note_base_missing(start); }

  bool due(duration after) const {
    return recovery.base_due(start + after, {after, own, peers, turn});
  }

  store_recovery recovery;
  store_recovery::knowledge own{1, 77};
  std::vector<store_recovery::peer_knowledge> peers;
  std::size_t turn = 0;
};

}  // namespace

BOOST_AUTO_TEST_CASE(the_base_is_written_once_all_peers_agree) {
  restored_instance instance;
  instance.peers = {{{1, 77}, true}, {{1, 77}, false}};
  BOOST_TEST(!instance.due(1s));
  instance.peers[1].reported = true;
  BOOST_TEST(instance.due(10ms));
  // Peers that know less don't matter.
  instance.peers[0].known = {0, 0};
  BOOST_TEST(instance.due(10ms));
  instance.recovery.reset();
  BOOST_TEST(!instance.due(10s));
}

// Guards against losing a change of leader that only some instances know of.
BOOST_AUTO_TEST_CASE(peers_that_know_other_leaders_delay_the_base) {
  restored_instance instance;
  instance.peers = {{{1, 78}, true}};
  BOOST_TEST(!instance.due(store_generation::rewrite_time - 1ms));
  BOOST_TEST(instance.due(store_generation::rewrite_time));
  // A peer with records of a later generation writes the base.
  instance.peers = {{{2, 5}, true}};
  BOOST_TEST(!instance.due(store_generation::rewrite_time + 1s));
  BOOST_TEST(instance.due(store_generation::rewrite_time + 2s));
}

BOOST_AUTO_TEST_CASE(an_instance_without_records_waits_for_those_with_some) {
  restored_instance instance;
  instance.own = {};
  BOOST_TEST(!instance.due(store_generation::rewrite_time));
  BOOST_TEST(instance.due(store_generation::rewrite_time + 1s));
  instance.peers = {{{1, 77}, true}};
  BOOST_TEST(!instance.due(store_generation::rewrite_time + 2s));
  BOOST_TEST(instance.due(store_generation::rewrite_time + 3s));
}

BOOST_AUTO_TEST_CASE(writers_take_turns) {
  restored_instance instance;
  instance.turn = 2;
  BOOST_TEST(!instance.due(799ms));
  BOOST_TEST(instance.due(800ms));
  BOOST_TEST(!instance.recovery.settled_note_due(
      store_generation::rewrite_time + 799ms, 2));
  BOOST_TEST(instance.recovery.settled_note_due(
      store_generation::rewrite_time + 800ms, 2));
}
