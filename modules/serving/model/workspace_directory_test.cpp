#include "serving/serving.hpp"
#include <boost/test/unit_test.hpp>

namespace hibiscusferry
{

BOOST_AUTO_TEST_SUITE(workspace_directory_tests)

// Guards against a caller that is served as another workspace.
BOOST_AUTO_TEST_CASE(each_key_finds_its_own_workspace)
{
    workspace_directory directory;
    BOOST_TEST(directory.add({"bakery", 1U}, {"k1", "k2"}) == 0U);
    BOOST_TEST(directory.add({"school", std::nullopt}, {"k3"}) == 0U);
    BOOST_TEST(directory.find("k2")->name == "bakery");
    BOOST_TEST(directory.find("k2")->rank.value() == 1U);
    BOOST_TEST(directory.find("k3")->name == "school");
    BOOST_TEST(directory.find("k4") == nullptr);
    BOOST_TEST(directory.find("") == nullptr);
    BOOST_TEST(directory.key_count() == 3U);
}

// Guards against a key of two workspaces that runs as either of them.
BOOST_AUTO_TEST_CASE(key_of_two_workspaces_identifies_neither)
{
    workspace_directory directory;
    directory.add({"bakery", std::nullopt}, {"shared", "own"});
    BOOST_TEST(directory.add({"school", std::nullopt}, {"shared"}) == 1U);
    BOOST_TEST(directory.find("shared") == nullptr);
    BOOST_TEST(directory.find("own")->name == "bakery");
    BOOST_TEST(directory.key_count() == 1U);
}

// Guards against a configuration that repeats a key within a workspace.
BOOST_AUTO_TEST_CASE(key_repeated_in_one_workspace_stays_valid)
{
    workspace_directory directory;
    BOOST_TEST(directory.add({"bakery", std::nullopt}, {"k1", "k1"}) == 0U);
    BOOST_TEST(directory.find("k1")->name == "bakery");
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace hibiscusferry
