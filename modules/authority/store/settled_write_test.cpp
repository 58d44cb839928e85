#include "authority/authority.hpp"

#include <boost/test/unit_test.hpp>

using namespace hibiscusferry;
using std::chrono::milliseconds;

namespace
{

constexpr milliseconds write_retry{500};

result<commit_receipt> lost()
{
    return make_error_code(platform_error::outcome_unknown);
}

settled_write write_of(const std::string& id, std::optional<row_version> from)
{
    table_transaction transaction;
    transaction.write_id = id;
    transaction.conditions.push_back({"k", from});
    transaction.writes.push_back({"k", "{\"write_id\":\"" + id + "\"}"});
    return {transaction, "k", write_retry};
}

} // namespace

BOOST_AUTO_TEST_SUITE(settled_write_test)

BOOST_AUTO_TEST_CASE(a_lost_answer_is_settled_by_the_same_write)
{
    memory_table table;
    settled_write write = write_of("w1", std::nullopt);
    const time_point start{};
    const row_version version = table.commit(*write.due(start)).version;
    BOOST_TEST((write.finish(lost(), start) == write_progress::open));
    BOOST_TEST(!write.due(start + write_retry / 2));

    const std::optional<table_transaction> copy =
        write.due(start + write_retry);
    BOOST_REQUIRE(copy);
    BOOST_TEST((write.finish(table.commit(*copy), start + write_retry) ==
                write_progress::committed));
    BOOST_TEST(write.version() == version);
    BOOST_TEST((write.first_sent() == start));
}

BOOST_AUTO_TEST_CASE(a_late_copy_fails_after_the_repetition)
{
    memory_table table;
    settled_write write = write_of("w1", std::nullopt);
    const time_point start{};
    const table_transaction late = *write.due(start);
    write.finish(lost(), start);
    const table_transaction copy = *write.due(start + write_retry);
    BOOST_TEST((write.finish(table.commit(copy), start + write_retry) ==
                write_progress::committed));
    BOOST_TEST(!table.commit(late).committed);
}

BOOST_AUTO_TEST_CASE(another_writer_in_between_rejects_it_for_good)
{
    memory_table table;
    settled_write write = write_of("w1", std::nullopt);
    const time_point start{};
    const table_transaction late = *write.due(start);
    write.finish(lost(), start);
    settled_write other = write_of("w2", std::nullopt);
    table.commit(*other.due(start));
    const table_transaction copy = *write.due(start + write_retry);
    BOOST_TEST((write.finish(table.commit(copy), start + write_retry) ==
                write_progress::rejected));
    BOOST_TEST(!table.commit(late).committed);
    BOOST_TEST(write.conflict()->version == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
