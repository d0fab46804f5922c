#define BOOST_TEST_MODULE statement_rules
#include "connection/statement-rules.h"

#include <boost/test/unit_test.hpp>

using namespace toucanmux;

namespace {

bool may_run(std::string_view sql,
             statement_step step = statement_step::single) {
  statement request;
  request.sql = sql;
  request.step = step;
  return rejection_reason(request).empty();
}

std::string digest(std::string_view sql, std::vector<parameter> values) {
  statement request;
  request.sql = sql;
  request.parameters = std::move(values);
  return digest_of(request);
}

}  // namespace

BOOST_AUTO_TEST_CASE(transaction_statements_are_rejected) {
  for (auto sql : {"begin", "START transaction", "Commit;", "end", "abort",
                   "/* /* */ */ rollback", "--x\r\n--y\n ; commit",
                   "prepare transaction 'a'"}) {
    BOOST_TEST(!may_run(sql));
    BOOST_TEST(!may_run(sql, statement_step::inside));
  }
  BOOST_TEST(may_run("rollback to a", statement_step::inside));
  BOOST_TEST(!may_run("rollback to a"));
}

BOOST_AUTO_TEST_CASE(session_changes_are_rejected) {
  for (auto sql : {"set x = 1", "reset all", "discard all", "listen a",
                   "copy a from stdin", "execute a"}) {
    BOOST_TEST(!may_run(sql));
  }
  BOOST_TEST(may_run("set local x = 1", statement_step::inside));
  BOOST_TEST(!may_run("set local x = 1"));
}

BOOST_AUTO_TEST_CASE(other_statements_are_accepted) {
  for (auto sql : {"select 1", "", "insert into commits values (1)",
                   "with a as (select 1) select * from a", "/*", "--", "settle",
                   "update a set b = 'begin'"}) {
    BOOST_TEST(may_run(sql));
  }
}

BOOST_AUTO_TEST_CASE(digests_distinguish_adjacent_texts) {
  BOOST_TEST(digest("a", {{false, "b"}}) == digest("a", {{false, "b"}}));
  BOOST_TEST(digest("ab", {}) != digest("a", {{false, "b"}}));
  BOOST_TEST(digest("a", {{false, "b"}, {false, "c"}}) !=
             digest("a", {{false, "bc"}}));
  BOOST_TEST(digest("a", {{true, ""}}) != digest("a", {{false, ""}}));
}
