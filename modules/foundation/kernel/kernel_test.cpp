#include "foundation/foundation.hpp"

#include <boost/test/unit_test.hpp>

using namespace hibiscusferry;

namespace
{

class recording_service final : public kernel_service
{
public:
    recording_service(std::string& log, std::string name, bool starts)
        : log_(log)
        , name_(std::move(name))
        , starts_(starts)
    {
    }

    result<void> start() override
    {
        if (!starts_)
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
    bool starts_;
};

std::unique_ptr<kernel_service>
recorder(std::string& log, const std::string& name, bool starts = true)
{
    return std::make_unique<recording_service>(log, name, starts);
}

} // namespace

BOOST_AUTO_TEST_SUITE(kernel_test)

BOOST_AUTO_TEST_CASE(starts_in_order_and_stops_in_reverse)
{
    std::string log;
    kernel core;
    BOOST_TEST(core.add("a", recorder(log, "a")).has_value());
    BOOST_TEST(core.add("b", recorder(log, "b")).has_value());
    BOOST_TEST(core.start().has_value());
    bool drained = false;
    core.drain([&drained] { drained = true; });
    core.stop();
    BOOST_TEST(drained);
    BOOST_TEST(log == "+a+b-b-a");
}

BOOST_AUTO_TEST_CASE(a_failed_start_stops_what_was_started)
{
    std::string log;
    kernel core;
    BOOST_TEST(core.add("a", recorder(log, "a")).has_value());
    BOOST_TEST(core.add("b", recorder(log, "b", false)).has_value());
    BOOST_TEST(core.start().error() == kernel_error::start_failed);
    BOOST_TEST(core.failed_service() == "b");
    BOOST_TEST(log == "+a-a");
}

BOOST_AUTO_TEST_CASE(finds_by_name_and_type)
{
    std::string log;
    kernel core;
    BOOST_TEST(core.add("a", recorder(log, "a")).has_value());
    BOOST_TEST(core.add("a", recorder(log, "a")).error() ==
               kernel_error::name_taken);
    BOOST_TEST(core.find<recording_service>("a").has_value());
    BOOST_TEST(core.find<recording_service>("b").error() ==
               kernel_error::not_found);
}

BOOST_AUTO_TEST_SUITE_END()
