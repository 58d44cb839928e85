#include "authority/authority.hpp"

#include <boost/test/unit_test.hpp>

using namespace hibiscusferry;
using std::chrono::milliseconds;

namespace
{

constexpr milliseconds write_retry{500};

result<commit_receipt> lost_response()
{
    return make_error_code(platform_error::outcome_unknown);
}

settled_write make_write(const std::string& id, std::optional<row_version> from)
{
    table_transaction transaction;
    transaction.write_id = id;
    transaction.conditions.push_back({"k", from});
    transaction.writes.push_back({"k", "{\"write_id\":\"" + id + "\"}"});
    return {transaction, "k", write_retry};
}

} // namespace

BOOST_AUTO_TEST_SUITE(settled_write_test)

BOOST_AUTO_TEST_CASE(a_lost_response_is_settled_by_retrying_the_write)
{
    memory_table table;
    settled_write write = make_write("w1", std::nullopt);
    const time_point start{};
    const row_version version = table.commit(*write.due(start)).version;
    BOOST_TEST(
        (write.finish(lost_response(), start) == write_progress::pending));
    BOOST_TEST(!write.due(start + write_retry / 2));

    const std::optional<table_transaction> retried_copy =
        write.due(start + write_retry);
    BOOST_REQUIRE(retried_copy);
    BOOST_TEST(
        (write.finish(table.commit(*retried_copy), start + write_retry) ==
         write_progress::committed));
    BOOST_TEST(write.version() == version);
    BOOST_TEST((write.first_sent() == start));
}

BOOST_AUTO_TEST_CASE(a_delayed_copy_fails_after_the_retry)
{
    memory_table table;
    settled_write write = make_write("w1", std::nullopt);
    const time_point start{};
    const table_transaction delayed_copy = *write.due(start);
    write.finish(lost_response(), start);
    const table_transaction retried_copy = *write.due(start + write_retry);
    BOOST_TEST((write.finish(table.commit(retried_copy), start + write_retry) ==
                write_progress::committed));
    BOOST_TEST(!table.commit(delayed_copy).committed);
}

BOOST_AUTO_TEST_CASE(a_concurrent_writer_rejects_the_write_permanently)
{
    memory_table table;
    settled_write write = make_write("w1", std::nullopt);
    const time_point start{};
    const table_transaction delayed_copy = *write.due(start);
    write.finish(lost_response(), start);
    settled_write other = make_write("w2", std::nullopt);
    table.commit(*other.due(start));
    const table_transaction retried_copy = *write.due(start + write_retry);
    BOOST_TEST((write.finish(table.commit(retried_copy), start + write_retry) ==
                write_progress::rejected));
    BOOST_TEST(!table.commit(delayed_copy).committed);
    BOOST_TEST(write.conflict()->version == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
