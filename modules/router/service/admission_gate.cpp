#include "router/service/admission_gate.hpp"

namespace hibiscusferry
{

namespace
{

/** How often a waiting request looks whether its caller is still there. */
constexpr std::chrono::milliseconds caller_check_interval{200};

} // namespace

admission_gate::admission_gate(boost::asio::io_context& context,
                               std::function<std::size_t()> room)
    : context_(context)
    , room_(std::move(room))
    , queue_(fair_queue_settings{})
{
}

void admission_gate::configure(const service_document& document)
{
    refuse(queue_.configure(document, boot_clock::now()));
}

admission_result admission_gate::wait(const queued_request& request,
                                      http_exchange& exchange,
                                      boost::asio::yield_context yield)
{
    boost::asio::steady_timer timer(context_);
    waiters_[request.number].timer = &timer;
    refuse(queue_.offer(request, boot_clock::now()));
    room_changed();

    while (!waiters_[request.number].ended)
    {
        timer.expires_after(caller_check_interval);
        boost::system::error_code ignored;
        timer.async_wait(yield[ignored]);
        refuse(queue_.expire(boot_clock::now()));
        const bool waits = !waiters_[request.number].ended;
        if (waits && exchange.is_client_disconnected())
        {
            queue_.cancel(request.number);
            end(request.number, {admission_result::kind::caller_gone, {}});
        }
    }
    const admission_result ended = *waiters_[request.number].ended;
    waiters_.erase(request.number);
    return ended;
}

void admission_gate::finish(request_number number, double actual_cost)
{
    queue_.finish(number, actual_cost);
    --running_;
    room_changed();
}

void admission_gate::room_changed()
{
    refuse(queue_.expire(boot_clock::now()));
    const std::size_t room = room_();
    while (running_ < room)
    {
        const std::optional<queued_request> next =
            queue_.take(boot_clock::now());
        if (!next)
            return;
        ++running_;
        end(next->number, {admission_result::kind::admitted, {}});
    }
}

const fair_queue& admission_gate::queue() const
{
    return queue_;
}

std::size_t admission_gate::running() const
{
    return running_;
}

void admission_gate::end(request_number number, const admission_result& how)
{
    const auto found = waiters_.find(number);
    if (found == waiters_.end())
        return;
    found->second.ended = how;
    found->second.timer->cancel();
}

void admission_gate::refuse(const std::vector<request_refusal>& refusals)
{
    for (const request_refusal& refusal : refusals)
        end(refusal.number, {admission_result::kind::refused, refusal});
}

} // namespace hibiscusferry
