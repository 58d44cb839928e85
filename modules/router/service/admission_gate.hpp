#ifndef HIBISCUSFERRY_ROUTER_SERVICE_ADMISSION_GATE_HPP
#define HIBISCUSFERRY_ROUTER_SERVICE_ADMISSION_GATE_HPP

#include "admission/admission.hpp"
#include "document/document.hpp"
#include "http/http.hpp"
#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <optional>

namespace hibiscusferry
{

/** How a request's wait for its turn ended. */
struct admission_result
{
    enum class kind
    {
        admitted, ///< it may run; finish() must be called when it has
        refused,  ///< it is not run; the refusal says why
        caller_gone
    };

    kind what = kind::admitted;
    request_refusal refusal;
};

/** Where the coroutines of a service's requests wait for their turn in the
    fair_queue.

    One per service, used from one thread.
*/
class admission_gate
{
public:
    /** @param room  how many requests the targets can take in all */
    admission_gate(boost::asio::io_context& context,
                   std::function<std::size_t()> room);
    admission_gate(const admission_gate&) = delete;
    admission_gate& operator=(const admission_gate&) = delete;

    /** Takes over the document's weights and queue length. */
    void configure(const service_document& document);

    /** Suspends the coroutine until the request's turn, its refusal, or its
        caller's leaving. */
    admission_result wait(const queued_request& request,
                          http_exchange& exchange,
                          boost::asio::yield_context yield);

    /** An admitted request has ended.
        @param actual_cost  in weighted tokens; 0 when it did not run */
    void finish(request_number number, double actual_cost);

    /** Admits what there is room for; to be called when targets change. */
    void room_changed();

    const fair_queue& queue() const;

    /** Requests admitted and not finished. */
    std::size_t running() const;

private:
    struct waiter
    {
        boost::asio::steady_timer* timer = nullptr;
        std::optional<admission_result> ended;
    };

    void end(request_number number, const admission_result& how);
    void refuse(const std::vector<request_refusal>& refusals);

    boost::asio::io_context& context_;
    std::function<std::size_t()> room_;
    fair_queue queue_;
    std::map<request_number, waiter> waiters_;
    std::size_t running_ = 0;
};

} // namespace hibiscusferry

#endif
