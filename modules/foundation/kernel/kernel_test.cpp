#include "foundation/foundation.hpp"

#include <boost/test/unit_test.hpp>

using namespace hibiscusferry;

namespace
{

class recording_service final : public kernel_service
{
public:
    recording_service(std::string& log, std::string name, const bool& can_start)
        : log_(log)
        , name_(std::move(name))
        , can_start_(can_start)
    {
    }

    result<void> start() override
    {
        if (!can_start_)
            return std::make_error_code(std::errc::address_in_use);
        log_ += "+" + name_;
        return outcome::success();
    }

    void stop() override
    {
        log_ += "-" + name_;
    }

private:
    std::string& log_;
    std::string name_;
    const bool& can_start_;
};

constexpr bool always = true;
constexpr bool never = false;

std::unique_ptr<kernel_service>
make_recording_service(std::string& log, const std::string& name,
                       const bool& can_start = always)
{
    return std::make_unique<recording_service>(log, name, can_start);
}

} // namespace

BOOST_AUTO_TEST_SUITE(kernel_test)

BOOST_AUTO_TEST_CASE(services_start_in_order_and_stop_in_reverse)
{
    std::string log;
    kernel core;
    BOOST_TEST(core.add("a", make_recording_service(log, "a")).has_value());
    BOOST_TEST(core.add("b", make_recording_service(log, "b")).has_value());
    BOOST_TEST(core.start().has_value());
    bool drained = false;
    core.drain([&drained] { drained = true; });
    core.stop();
    BOOST_TEST(drained);
    BOOST_TEST(log == "+a+b-b-a");
}

BOOST_AUTO_TEST_CASE(failed_start_stops_already_started_services)
{
    std::string log;
    kernel core;
    BOOST_TEST(core.add("a", make_recording_service(log, "a")).has_value());
    BOOST_TEST(
        core.add("b", make_recording_service(log, "b", never)).has_value());
    BOOST_TEST(core.start().error() == kernel_error::start_failed);
    BOOST_TEST(core.failed_service() == "b");
    BOOST_TEST(log == "+a-a");
}

BOOST_AUTO_TEST_CASE(failed_start_is_continued_where_it_failed)
{
    std::string log;
    bool can_start = false;
    kernel core;
    BOOST_TEST(core.add("a", make_recording_service(log, "a")).has_value());
    BOOST_TEST(
        core.add("b", std::make_unique<recording_service>(log, "b", can_start))
            .has_value());
    BOOST_TEST(core.add("c", make_recording_service(log, "c")).has_value());
    BOOST_TEST((core.start_remaining().error() == std::errc::address_in_use));
    BOOST_TEST(core.failed_service() == "b");
    BOOST_TEST(log == "+a");
    can_start = true;
    BOOST_TEST(core.start_remaining().has_value());
    BOOST_TEST(core.failed_service().empty());
    core.stop();
    BOOST_TEST(log == "+a+b+c-c-b-a");
}

BOOST_AUTO_TEST_CASE(services_are_found_by_name_and_type)
{
    std::string log;
    kernel core;
    BOOST_TEST(core.add("a", make_recording_service(log, "a")).has_value());
    BOOST_TEST(core.add("a", make_recording_service(log, "a")).error() ==
               kernel_error::name_taken);
    BOOST_TEST(core.find<recording_service>("a").has_value());
    BOOST_TEST(core.find<recording_service>("b").error() ==
               kernel_error::not_found);
}

BOOST_AUTO_TEST_SUITE_END()
