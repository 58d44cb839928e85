#include "stand_ins/platform/platform_stand_in.hpp"

int main(int argument_count, char** arguments)
{
    using namespace hibiscusferry;
    stand_ins::parse_command_line(argument_count, arguments,
                                  "simulates the metadata store in memory");
    boost::asio::io_context context;
    stand_ins::platform_stand_in platform(context);
    stand_ins::run_stand_in(
        context,
        [&platform](http_exchange& exchange, boost::asio::yield_context yield)
        { platform.serve(exchange, yield); },
        {});
}
