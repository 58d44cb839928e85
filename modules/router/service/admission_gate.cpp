#include "router/service/admission_gate.hpp"

namespace hibiscusferry
{

namespace
{

/** Interval at which a waiting request checks whether its caller is still
    connected. */
constexpr std::chrono::milliseconds caller_check_interval{200};

} // namespace

admission_gate::admission_gate(boost::asio::io_context& context,
                               std::function<std::size_t()> capacity)
    : context_(context)
    , capacity_(std::move(capacity))
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
    waiting_[request.number].timer = &timer;
    refuse(queue_.offer(request, boot_clock::now()));
    capacity_changed();

    while (!waiting_[request.number].admission)
    {
        timer.expires_after(caller_check_interval);
        boost::system::error_code ignored;
        timer.async_wait(yield[ignored]);
        refuse(queue_.expire(boot_clock::now()));
        const bool is_waiting = !waiting_[request.number].admission;
        if (is_waiting && exchange.is_client_disconnected())
        {
            queue_.cancel(request.number);
            complete(request.number,
                     {admission_result::kind::caller_disconnected, {}});
        }
    }
    const admission_result admission = *waiting_[request.number].admission;
    waiting_.erase(request.number);
    return admission;
}

void admission_gate::finish(request_number number, double actual_cost)
{
    queue_.finish(number, actual_cost);
    --running_;
    capacity_changed();
}

void admission_gate::capacity_changed()
{
    refuse(queue_.expire(boot_clock::now()));
    const std::size_t capacity = capacity_();
    while (running_ < capacity)
    {
        const std::optional<queued_request> next =
            queue_.take(boot_clock::now());
        if (!next)
            return;
        ++running_;
        complete(next->number, {admission_result::kind::admitted, {}});
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

void admission_gate::complete(request_number number,
                              const admission_result& admission)
{
    const auto request = waiting_.find(number);
    if (request == waiting_.end())
        return;
    request->second.admission = admission;
    request->second.timer->cancel();
}

void admission_gate::refuse(const std::vector<request_refusal>& refusals)
{
    for (const request_refusal& refusal : refusals)
        complete(refusal.number, {admission_result::kind::refused, refusal});
}

} // namespace hibiscusferry
