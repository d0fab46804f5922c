#define BOOST_TEST_MODULE statement_rules
#include "connection/statement-rules.h"

#include <boost/test/unit_test.hpp>

using namespace toucanmux;

namespace {

bool may_run(std::string_view sql,
             statement_step step = statement_step::single) {
  statement what;
  what.sql = sql;
  what.step = step;
  return rejection_reason(what).empty();
}

std::string digest(std::string_view sql, std::vector<parameter> values) {
  statement what;
  what.sql = sql;
  what.parameters = std::move(values);
  return digest_of(what);
}

}  // namespace

BOOST_AUTO_TEST_CASE(transactions_go_by_their_steps) {
  for (auto sql : {"begin", "START transaction", "Commit;", "end", "abort",
                   "/* /* */ */ rollback", "--x\r\n--y\n ; commit",
                   "prepare transaction 'a'"}) {
    BOOST_TEST(!may_run(sql));
    BOOST_TEST(!may_run(sql, statement_step::inside));
  }
  BOOST_TEST(may_run("rollback to a", statement_step::inside));
  BOOST_TEST(!may_run("rollback to a"));
}

BOOST_AUTO_TEST_CASE(the_session_stays_as_it_is) {
  for (auto sql : {"set x = 1", "reset all", "discard all", "listen a",
                   "copy a from stdin", "execute a"}) {
    BOOST_TEST(!may_run(sql));
  }
  BOOST_TEST(may_run("set local x = 1", statement_step::inside));
  BOOST_TEST(!may_run("set local x = 1"));
}

BOOST_AUTO_TEST_CASE(other_statements_may_run) {
  for (auto sql : {"select 1", "", "insert into commits values (1)",
                   "with a as (select 1) select * from a", "/*", "--", "settle",
                   "update a set b = 'begin'"}) {
    BOOST_TEST(may_run(sql));
  }
}

BOOST_AUTO_TEST_CASE(digests_keep_neighbours_apart) {
  BOOST_TEST(digest("a", {{false, "b"}}) == digest("a", {{false, "b"}}));
  BOOST_TEST(digest("ab", {}) != digest("a", {{false, "b"}}));
  BOOST_TEST(digest("a", {{false, "b"}, {false, "c"}}) !=
             digest("a", {{false, "bc"}}));
  BOOST_TEST(digest("a", {{true, ""}}) != digest("a", {{false, ""}}));
}
