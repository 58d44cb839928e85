#include "stand_ins/server/server_stand_in.hpp"

#include <gflags/gflags.h>

DEFINE_int32(run_ms, 5,
             "time that the execution of a request takes, in milliseconds");

int main(int argument_count, char** arguments)
{
    using namespace hibiscusferry;
    stand_ins::parse_command_line(
        argument_count, arguments,
        "simulates an application server of the users' platform");
    boost::asio::io_context context;
    stand_ins::server_stand_in server(context,
                                      std::chrono::milliseconds(FLAGS_run_ms));
    stand_ins::run_stand_in(
        context,
        [&server](http_exchange& exchange, boost::asio::yield_context yield)
        { server.serve(exchange, yield); },
        {});
}
