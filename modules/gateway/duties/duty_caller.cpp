#include "gateway/duties/duty_caller.hpp"

#include <algorithm>

namespace hibiscusferry
{

namespace
{

constexpr std::chrono::milliseconds duty_connect_timeout{1000};
/** Shorter than fleet_authority::delivery_margin, so that a call is aborted
    before a successor makes one. */
constexpr std::chrono::milliseconds duty_call_timeout{1500};
static_assert(duty_call_timeout < fleet_authority::delivery_margin);
constexpr std::size_t max_duty_response_bytes = 64U << 10;
/** Part of the rate that the receiver allows. The remainder is for a
    predecessor whose calls still count. */
constexpr double used_rate_fraction = 0.5;

} // namespace

duty_caller::duty_caller(process_core& core, const fleet_state& fleet,
                         const fleet_authority& authority,
                         const duty_protocol& protocol)
    : core_(core)
    , fleet_(fleet)
    , authority_(authority)
    , protocol_(protocol)
    , settings_(*fleet.settings().duties)
    , tokens_at_(core.now())
{
}

bool duty_caller::try_take()
{
    const time_point now = core_.now();
    const double rate = used_rate_fraction * settings_.calls_per_second;
    const std::chrono::duration<double> elapsed = now - tokens_at_;
    tokens_ = std::min(tokens_ + rate * elapsed.count(), std::max(rate, 1.0));
    tokens_at_ = now;
    if (tokens_ < 1)
        return false;
    tokens_ -= 1;
    return true;
}

std::optional<duty_result> duty_caller::call(const writer& write,
                                             boost::asio::yield_context yield)
{
    if (!authority_.may_begin_duties(core_.now()) || !try_take())
        return std::nullopt;
    const std::uint64_t term = authority_.term();
    result<std::unique_ptr<http_connection>> connection =
        core_.connections().open(settings_.receiver, duty_connect_timeout,
                                 yield);
    // The authority may have been lost while the connection was opened.
    if (!connection || !authority_.may_begin_duties(core_.now()) ||
        authority_.term() != term)
        return std::nullopt;
    const http_request request =
        write({fleet_.settings().host, authority_.fencing_number()});
    connection.value()->abort_on_close(duty_call_timeout);
    const result<http_response> response =
        http_call(core_.connections(), std::move(connection.value()), request,
                  duty_call_timeout, max_duty_response_bytes, yield);
    if (!response)
        return std::nullopt;
    return protocol_.read_response(response.value().status);
}

} // namespace hibiscusferry
