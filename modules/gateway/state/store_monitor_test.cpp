#include "gateway/state/fake_store.hpp"

#include <boost/test/unit_test.hpp>
#include <thread>

using namespace hibiscusferry;

namespace
{

std::size_t count_of(const process_core& core, event_number number)
{
    std::size_t count = 0;
    for (const event& entry : core.journal_view().events())
        count += entry.number == number ? 1 : 0;
    return count;
}

} // namespace

BOOST_AUTO_TEST_SUITE(store_monitor_test)

BOOST_AUTO_TEST_CASE(a_process_that_starts_late_sees_no_outage_before_its_start)
{
    process_core core("gateway", test_process_settings());
    fleet_state fleet(core, test_host_settings());
    store_monitor monitor(core, fleet);
    std::this_thread::sleep_for(std::chrono::milliseconds(1600));
    monitor.start();
    monitor.tick();
    BOOST_TEST(count_of(core, event_number::store_lost) == 0U);
    std::this_thread::sleep_for(std::chrono::milliseconds(1600));
    monitor.tick();
    BOOST_TEST(count_of(core, event_number::store_lost) == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
