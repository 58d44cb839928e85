#ifndef HIBISCUSFERRY_EXTRAS_STAND_INS_DUTIES_DUTY_RECEIVER_HPP
#define HIBISCUSFERRY_EXTRAS_STAND_INS_DUTIES_DUTY_RECEIVER_HPP

#include "foundation/foundation.hpp"
#include "stand_ins/support/stand_in_program.hpp"
#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace hibiscusferry::stand_ins
{

/** A simulated receiver of the duty calls of the users' platform, which does
   not check fencing tokens but judges them.

    Accepts POST /usage and POST /scale. GET /control/calls returns the number
   of `calls`, the hosts that sent them (`holders`), the host of the last call
    (`holder`), the requests that the reports count (`counted`), and what is
    forbidden: calls of two hosts with one token (`shared`), calls with a lower
    token than before (`lower`), turns A, B, A of hosts within the duration of
    the lease (`turns`), and windows with two different reports (`conflicts`).
*/
class duty_receiver
{
public:
    /** @param lease_duration  within which hosts must not take turns */
    explicit duty_receiver(std::chrono::milliseconds lease_duration);

    /** Serves one request. */
    void serve(http_exchange& exchange, boost::asio::yield_context yield);

private:
    struct received_call
    {
        time_point at;
        std::string holder;
        std::uint64_t token = 0;
    };

    void judge(const received_call& call);
    void record_report(const http_request& request);

    std::chrono::milliseconds lease_duration_;
    std::vector<received_call> calls_;
    /** The hosts that have sent each token. */
    std::map<std::uint64_t, std::string> holders_;
    /** The body of the report of each window. */
    std::map<std::uint64_t, std::string> reports_;
    std::uint64_t highest_token_ = 0;
    std::uint64_t counted_ = 0;
    int shared_ = 0;
    int lower_ = 0;
    int turns_ = 0;
    int conflicts_ = 0;
};

} // namespace hibiscusferry::stand_ins

#endif
