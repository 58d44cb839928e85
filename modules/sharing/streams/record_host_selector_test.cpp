#include "sharing/sharing.hpp"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <map>
#include <set>

using namespace hibiscusferry;

namespace
{

using candidate_list = std::vector<record_host_selector::candidate>;

constexpr std::size_t stored_copies = 3;
constexpr std::size_t asked_hosts = 6;
constexpr std::uint64_t tested_keys = 500;

candidate_list make_hosts(std::size_t zones, std::size_t hosts_per_zone)
{
    candidate_list hosts;
    for (std::size_t zone = 0; zone < zones; ++zone)
    {
        const std::string zone_name = "zone-" + std::to_string(zone);
        for (std::size_t host = 0; host < hosts_per_zone; ++host)
            hosts.push_back(
                {zone_name + "-host-" + std::to_string(host), zone_name});
    }
    return hosts;
}

record_host_selector selector_for(const candidate_list& hosts)
{
    record_host_selector selector;
    selector.set_candidates(hosts);
    return selector;
}

std::string zone_of(const candidate_list& hosts, const std::string& name)
{
    const auto match =
        std::find_if(hosts.begin(), hosts.end(),
                     [&](const record_host_selector::candidate& candidate)
                     { return candidate.host == name; });
    return match == hosts.end() ? "" : match->availability_zone;
}

candidate_list without_host(candidate_list hosts, const std::string& name)
{
    hosts.erase(
        std::remove_if(hosts.begin(), hosts.end(),
                       [&](const record_host_selector::candidate& candidate)
                       { return candidate.host == name; }),
        hosts.end());
    return hosts;
}

std::size_t common_hosts(const std::vector<std::string>& first,
                         const std::vector<std::string>& second)
{
    const std::set<std::string> names(first.begin(), first.end());
    return static_cast<std::size_t>(std::count_if(
        second.begin(), second.end(),
        [&](const std::string& name) { return names.count(name) > 0; }));
}

} // namespace

BOOST_AUTO_TEST_SUITE(record_host_selector_test)

BOOST_AUTO_TEST_CASE(the_order_of_the_list_does_not_matter)
{
    const candidate_list hosts = make_hosts(3, 4);
    const record_host_selector selector = selector_for(hosts);
    const record_host_selector reversed =
        selector_for(candidate_list(hosts.rbegin(), hosts.rend()));
    for (std::uint64_t key = 0; key < tested_keys; ++key)
    {
        const std::vector<std::string> selected =
            selector.select(key, asked_hosts, "");
        BOOST_TEST(selected == reversed.select(key, asked_hosts, ""),
                   boost::test_tools::per_element());
        BOOST_TEST(selected.size() == asked_hosts);
        BOOST_TEST(common_hosts(selected, selected) == asked_hosts);
    }
}

BOOST_AUTO_TEST_CASE(the_loss_of_a_zone_loses_one_copy)
{
    const candidate_list hosts = make_hosts(7, 5);
    const record_host_selector selector = selector_for(hosts);
    for (std::uint64_t key = 0; key < tested_keys; ++key)
    {
        std::set<std::string> zones;
        for (const std::string& host : selector.select(key, stored_copies, ""))
            zones.insert(zone_of(hosts, host));
        BOOST_TEST(zones.size() == stored_copies);
    }
}

BOOST_AUTO_TEST_CASE(the_hosts_asked_include_those_that_store_the_record)
{
    for (const candidate_list& hosts :
         {make_hosts(7, 5), make_hosts(3, 2), make_hosts(2, 3),
          make_hosts(1, 8), make_hosts(5, 1), make_hosts(2, 1)})
    {
        const record_host_selector selector = selector_for(hosts);
        for (std::uint64_t key = 0; key < tested_keys; ++key)
        {
            const std::string& recording_host = hosts[key % hosts.size()].host;
            const std::string& asking_host =
                hosts[(key / 7) % hosts.size()].host;
            const std::vector<std::string> stored =
                selector.select(key, stored_copies, recording_host);
            BOOST_TEST(stored.size() ==
                       std::min(stored_copies, hosts.size() - 1));
            std::vector<std::string> asked =
                selector.select(key, asked_hosts, asking_host);
            asked.push_back(asking_host);
            BOOST_TEST(common_hosts(asked, stored) == stored.size());
            BOOST_TEST(common_hosts(stored, {recording_host}) == 0U);
        }
    }
}

BOOST_AUTO_TEST_CASE(the_copies_are_found_after_a_host_left_or_joined)
{
    const candidate_list hosts = make_hosts(3, 4);
    for (std::uint64_t key = 0; key < tested_keys; ++key)
    {
        const std::string& recording_host = hosts[key % hosts.size()].host;
        const std::vector<std::string> stored =
            selector_for(hosts).select(key, stored_copies, recording_host);
        for (const record_host_selector::candidate& lost : hosts)
        {
            const std::vector<std::string> asked =
                selector_for(without_host(hosts, lost.host))
                    .select(key, asked_hosts, "");
            const std::size_t lost_copies = common_hosts(stored, {lost.host});
            BOOST_TEST(common_hosts(asked, stored) ==
                       stored.size() - lost_copies);
        }
        candidate_list more_hosts = hosts;
        more_hosts.push_back({"zone-1-host-new", "zone-1"});
        std::vector<std::string> knowing = stored;
        knowing.push_back(recording_host);
        BOOST_TEST(
            common_hosts(selector_for(more_hosts).select(key, asked_hosts, ""),
                         knowing) >= stored_copies);
    }
}

BOOST_AUTO_TEST_CASE(two_copies_are_found_after_a_zone_left_or_joined)
{
    const candidate_list hosts = make_hosts(4, 3);
    const candidate_list fewer_hosts = make_hosts(3, 3);
    for (std::uint64_t key = 0; key < tested_keys; ++key)
    {
        const std::vector<std::string> stored =
            selector_for(hosts).select(key, stored_copies, "");
        BOOST_TEST(
            common_hosts(selector_for(fewer_hosts).select(key, asked_hosts, ""),
                         stored) >= 2U);
        const std::vector<std::string> stored_before =
            selector_for(fewer_hosts).select(key, stored_copies, "");
        BOOST_TEST(
            common_hosts(selector_for(hosts).select(key, asked_hosts, ""),
                         stored_before) >= 2U);
    }
}

BOOST_AUTO_TEST_CASE(records_are_spread_evenly)
{
    const candidate_list hosts = make_hosts(4, 5);
    const record_host_selector selector = selector_for(hosts);
    constexpr std::uint64_t keys = 20000;
    std::map<std::string, std::size_t> records;
    for (std::uint64_t key = 0; key < keys; ++key)
    {
        const std::vector<std::string> selected = selector.select(
            stable_hash(std::to_string(key)), stored_copies, "");
        for (const std::string& host : selected)
            ++records[host];
    }
    const double mean = static_cast<double>(keys * stored_copies) /
                        static_cast<double>(hosts.size());
    for (const record_host_selector::candidate& candidate : hosts)
    {
        BOOST_TEST(static_cast<double>(records[candidate.host]) > 0.9 * mean);
        BOOST_TEST(static_cast<double>(records[candidate.host]) < 1.1 * mean);
    }
}

BOOST_AUTO_TEST_CASE(no_hosts_are_selected_from_an_empty_list)
{
    BOOST_TEST(record_host_selector().select(1, asked_hosts, "").empty());
    BOOST_TEST(selector_for(make_hosts(1, 1))
                   .select(1, asked_hosts, "zone-0-host-0")
                   .empty());
}

BOOST_AUTO_TEST_SUITE_END()
