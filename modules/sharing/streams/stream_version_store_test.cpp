#include "sharing/sharing.hpp"

#include <boost/test/unit_test.hpp>

using namespace hibiscusferry;

namespace
{

using std::chrono::milliseconds;

time_point at(int time_ms)
{
    return time_point{milliseconds(time_ms)};
}

stream_version version_for(const std::string& version, int lifetime_ms)
{
    return {version, milliseconds(lifetime_ms)};
}

} // namespace

BOOST_AUTO_TEST_SUITE(stream_version_store_test)

BOOST_AUTO_TEST_CASE(a_version_is_found_with_its_remaining_lifetime)
{
    stream_version_store store(10);
    store.record(1, version_for("v1", 1000), at(0));
    store.record(2, version_for("v2", 1000), at(0));
    const std::optional<stream_version> found = store.find(1, at(400));
    BOOST_REQUIRE(found.has_value());
    BOOST_TEST(found->version == "v1");
    BOOST_TEST(found->lifetime.count() == 600);
    BOOST_TEST(store.find(2, at(400)).value().version == "v2");
    BOOST_TEST(!store.find(3, at(400)).has_value());
}

BOOST_AUTO_TEST_CASE(an_empty_version_is_known)
{
    stream_version_store store(10);
    store.record(1, version_for("", 1000), at(0));
    BOOST_REQUIRE(store.find(1, at(0)).has_value());
    BOOST_TEST(store.find(1, at(0))->version.empty());
}

BOOST_AUTO_TEST_CASE(a_record_expires)
{
    stream_version_store store(10);
    store.record(1, version_for("v1", 1000), at(0));
    BOOST_TEST(store.find(1, at(999)).has_value());
    BOOST_TEST(!store.find(1, at(1000)).has_value());
    BOOST_TEST(store.size() == 1U);
    store.record(2, version_for("v1", 1000), at(1000));
    BOOST_TEST(store.size() == 1U);
}

BOOST_AUTO_TEST_CASE(a_record_without_a_lifetime_is_not_stored)
{
    stream_version_store store(10);
    store.record(1, version_for("v1", 0), at(0));
    store.record(2, version_for("v1", -5), at(0));
    BOOST_TEST(store.size() == 0U);
}

BOOST_AUTO_TEST_CASE(repeated_records_extend_the_lifetime_and_never_reduce_it)
{
    stream_version_store store(10);
    store.record(1, version_for("v1", 1000), at(0));
    store.record(1, version_for("v1", 1000), at(500));
    store.record(1, version_for("v1", 100), at(600));
    BOOST_TEST(store.find(1, at(1499)).has_value());
    BOOST_TEST(!store.find(1, at(1500)).has_value());
}

BOOST_AUTO_TEST_CASE(a_key_with_two_versions_is_not_found)
{
    stream_version_store store(10);
    store.record(1, version_for("v1", 1000), at(0));
    store.record(1, version_for("v2", 1000), at(10));
    BOOST_TEST(!store.find(1, at(20)).has_value());
    store.record(1, version_for("v1", 1000), at(30));
    BOOST_TEST(!store.find(1, at(40)).has_value());
    store.record(1, version_for("v2", 1000), at(1030));
    BOOST_TEST(store.find(1, at(1040)).value().version == "v2");
}

BOOST_AUTO_TEST_CASE(the_oldest_record_makes_room_for_a_new_one)
{
    stream_version_store store(3);
    for (int key = 1; key <= 5; ++key)
        store.record(static_cast<stream_key>(key),
                     version_for("v1", 10000 - key), at(key));
    BOOST_TEST(store.size() == 3U);
    BOOST_TEST(!store.find(1, at(10)).has_value());
    BOOST_TEST(!store.find(2, at(10)).has_value());
    BOOST_TEST(store.find(3, at(10)).has_value());
    BOOST_TEST(store.find(5, at(10)).has_value());
}

BOOST_AUTO_TEST_CASE(expired_records_make_room_before_live_ones)
{
    stream_version_store store(2);
    store.record(1, version_for("v1", 10000), at(0));
    store.record(2, version_for("v1", 100), at(1));
    store.record(3, version_for("v1", 10000), at(200));
    BOOST_TEST(store.find(1, at(200)).has_value());
    BOOST_TEST(store.find(3, at(200)).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
