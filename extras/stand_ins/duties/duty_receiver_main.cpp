#include "stand_ins/duties/duty_receiver.hpp"

#include <gflags/gflags.h>

DEFINE_int32(lease_ms, 3000,
             "time within which hosts must not take turns, in milliseconds");

int main(int argument_count, char** arguments)
{
    using namespace hibiscusferry;
    stand_ins::parse_command_line(
        argument_count, arguments,
        "simulates the receiver of the duties of the users' platform");
    boost::asio::io_context context;
    stand_ins::duty_receiver receiver{
        std::chrono::milliseconds(FLAGS_lease_ms)};
    stand_ins::run_stand_in(
        context,
        [&receiver](http_exchange& exchange, boost::asio::yield_context yield)
        { receiver.serve(exchange, yield); },
        {});
}
