#include "gateway/state/target_list_confirmation.hpp"

#include <algorithm>

namespace hibiscusferry
{

target_list_confirmation::target_list_confirmation(process_core& core)
    : core_(core)
{
}

void target_list_confirmation::confirm(time_point as_of)
{
    confirmed_as_of_ = std::max(confirmed_as_of_, as_of);
    for (const std::shared_ptr<waiting_request>& request : waiting_)
    {
        if (request->as_of <= confirmed_as_of_)
            request->timer.cancel();
    }
}

bool target_list_confirmation::is_awaited() const
{
    return std::any_of(waiting_.begin(), waiting_.end(),
                       [this](const std::shared_ptr<waiting_request>& request)
                       { return request->as_of > confirmed_as_of_; });
}

bool target_list_confirmation::wait(time_point as_of,
                                    std::chrono::milliseconds timeout,
                                    boost::asio::yield_context yield)
{
    if (confirmed_as_of_ >= as_of)
        return true;
    // Shared, as the coroutine may outlive this object when the process ends.
    const std::shared_ptr<waiting_request> request =
        std::make_shared<waiting_request>(waiting_request{
            as_of, boost::asio::steady_timer(core_.context(), timeout)});
    waiting_.push_back(request);
    boost::system::error_code ignored;
    request->timer.async_wait(yield[ignored]);
    waiting_.remove(request);
    return confirmed_as_of_ >= as_of;
}

} // namespace hibiscusferry
