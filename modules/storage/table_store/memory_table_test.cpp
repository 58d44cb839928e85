#include "storage/storage.hpp"

#include <boost/test/unit_test.hpp>

using namespace hibiscusferry;

BOOST_AUTO_TEST_SUITE(memory_table_test)

BOOST_AUTO_TEST_CASE(a_condition_on_absence_fails_after_an_insert)
{
    memory_table table;
    const table_transaction claim{"w1", {{"k", std::nullopt}}, {{"k", "a"}}};
    BOOST_TEST(table.commit(claim).committed);
    const commit_receipt second = table.commit(claim);
    BOOST_TEST(!second.committed);
    BOOST_TEST(second.conflicts.at(0).value == "a");
}

BOOST_AUTO_TEST_CASE(a_version_is_not_reused_after_a_delete)
{
    memory_table table;
    const row_version first = table.commit({"w1", {}, {{"k", "a"}}}).version;
    table.commit({"w2", {}, {{"k", std::nullopt}}});
    table.commit({"w3", {}, {{"k", "b"}}});
    const commit_receipt outdated =
        table.commit({"w4", {{"k", first}}, {{"k", "late"}}});
    BOOST_TEST(!outdated.committed);
    BOOST_TEST(table.read("k").value().value == "b");
}

BOOST_AUTO_TEST_CASE(one_failed_condition_prevents_all_writes)
{
    memory_table table;
    table.commit({"w1", {}, {{"a", "1"}}});
    const commit_receipt receipt =
        table.commit({"w2",
                      {{"a", std::nullopt}, {"b", std::nullopt}},
                      {{"a", "2"}, {"b", "2"}}});
    BOOST_TEST(!receipt.committed);
    BOOST_TEST(table.read("b").error() == platform_error::not_found);
}

BOOST_AUTO_TEST_CASE(scan_pages_through_the_keys_of_a_prefix)
{
    memory_table table;
    for (const char* key : {"p/1", "p/2", "p/3", "q/1"})
        table.commit({key, {}, {{key, "v"}}});
    const std::vector<table_row> first = table.scan("p/", "", 2);
    BOOST_TEST(first.size() == 2U);
    const std::vector<table_row> rest = table.scan("p/", first.back().key, 10);
    BOOST_TEST(rest.size() == 1U);
    BOOST_TEST(rest.at(0).key == "p/3");
}

BOOST_AUTO_TEST_SUITE_END()
