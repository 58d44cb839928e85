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

/** The result of waiting for admission. */
struct admission_result
{
    enum class kind
    {
        admitted, ///< the request may run; finish() must be called afterwards
        refused,  ///< the request is not run; `refusal` holds the reason
        caller_disconnected ///< the caller closed its connection
    };

    kind status = kind::admitted;
    request_refusal refusal;
};

/** Suspends the coroutines of a service's requests until the fair_queue admits
    or refuses them.

    There is one per service, used from a single thread.
*/
class admission_gate
{
public:
    /** @param capacity  returns the total number of requests that the targets
                         can accept */
    admission_gate(boost::asio::io_context& context,
                   std::function<std::size_t()> capacity);
    admission_gate(const admission_gate&) = delete;
    admission_gate& operator=(const admission_gate&) = delete;

    /** Applies the document's weights and queue length. */
    void configure(const service_document& document);

    /** Suspends the coroutine until the request is admitted or refused, or
        its caller disconnects. */
    admission_result wait(const queued_request& request,
                          http_exchange& exchange,
                          boost::asio::yield_context yield);

    /** Records that an admitted request has finished.
        @param actual_cost  in weighted tokens; 0 when it did not run */
    void finish(request_number number, double actual_cost);

    /** Admits as many waiting requests as the targets can accept; must be
        called when the targets change. */
    void capacity_changed();

    const fair_queue& queue() const;

    /** The number of requests admitted and not finished. */
    std::size_t running() const;

private:
    struct waiting_request
    {
        boost::asio::steady_timer* timer = nullptr;
        std::optional<admission_result> admission;
    };

    void complete(request_number number, const admission_result& admission);
    void refuse(const std::vector<request_refusal>& refusals);

    boost::asio::io_context& context_;
    std::function<std::size_t()> capacity_;
    fair_queue queue_;
    std::map<request_number, waiting_request> waiting_;
    std::size_t running_ = 0;
};

} // namespace hibiscusferry

#endif
