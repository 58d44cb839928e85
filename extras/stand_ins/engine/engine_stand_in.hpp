#ifndef HIBISCUSFERRY_EXTRAS_STAND_INS_ENGINE_ENGINE_STAND_IN_HPP
#define HIBISCUSFERRY_EXTRAS_STAND_INS_ENGINE_ENGINE_STAND_IN_HPP

#include "stand_ins/engine/batch_scheduler.hpp"
#include "stand_ins/engine/cache_event_log.hpp"
#include "stand_ins/engine/order_book.hpp"
#include "stand_ins/support/notifier.hpp"
#include "stand_ins/support/silent_connections.hpp"
#include "stand_ins/support/stand_in_program.hpp"
#include <chrono>
#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace hibiscusferry::stand_ins
{

/** The settings of a simulated engine. */
struct engine_settings
{
    engine_costs costs;
    std::string service;
    std::string model;
    std::string role = "mixed";
    bool checks_fencing = true;
    std::chrono::milliseconds change_duration{3000};
    std::chrono::milliseconds load_report_lag{500};
    std::chrono::milliseconds cache_event_lag{1000};
    unsigned cache_event_loss_percent = 5;
    /** The maximum number of waiting generations. Further requests are refused
        without being executed. */
    std::size_t max_waiting = 256;
};

/** The faults injected into the engine stand-in. */
struct engine_faults
{
    /** Exits the process halfway through the next change of role or model. */
    bool crash_on_change = false;
    /** The factor by which the duration of each step is multiplied. */
    double slow_factor = 1;
    /** Responses carry the attempt id of another request. */
    bool swap_attempt_ids = false;
    /** Delay before a response begins. */
    std::chrono::milliseconds response_delay{0};
    /** The number of tokens after which the connection of a stream is closed;
        0 disables the fault. Resumed streams are not affected. */
    std::size_t disconnect_stream_after = 0;
    /** Discards a generation after its stream was disconnected. */
    bool lose_generation = false;
    bool draining = false;
    /** Refuses requests with the code "overloaded" without executing them. */
    bool refuse = false;
};

/** A simulated language-model engine that generates responses in real time
    according to a simple cost model.

    docs/INTERFACES.md describes the requests and responses. In addition,
    POST /control/faults sets the injected faults: omitted fields are reset,
    `"crash":true` exits immediately, and `"silent":true` makes all open
    connections unresponsive. GET /control/counts returns the counters.
*/
class engine_stand_in
{
public:
    engine_stand_in(boost::asio::io_context& context,
                    const engine_settings& settings);

    /** Starts the background tasks. */
    void start();

    /** Serves one request. */
    void serve(http_exchange& exchange, boost::asio::yield_context yield);

    /** Refuses all further requests. */
    void start_draining();

private:
    /** A generation and the streams that read it. */
    struct retained_generation
    {
        generation_pointer item;
        unsigned reader_count = 0;
        time_point last_read;
    };

    using handler = void (engine_stand_in::*)(http_exchange&,
                                              boost::asio::yield_context);

    /** A route of the engine's API. A path that ends in '/' matches all paths
        that start with it. */
    struct route
    {
        const char* method;
        const char* path;
        handler serve;
    };

    static const route routes[];

    // Control.
    void set_faults(http_exchange& exchange, boost::asio::yield_context yield);
    void respond_with_counts(http_exchange& exchange,
                             boost::asio::yield_context yield);

    // Completions.
    void complete(http_exchange& exchange, boost::asio::yield_context yield);
    void resume(http_exchange& exchange, boost::asio::yield_context yield);
    void cancel(http_exchange& exchange, boost::asio::yield_context yield);
    void stream(http_exchange& exchange, const std::string& id,
                std::size_t offset, bool is_resumed,
                boost::asio::yield_context yield);
    void send_completion(http_exchange& exchange,
                         const generation_pointer& item,
                         boost::asio::yield_context yield);
    /** Writes the tokens produced so far.
        @returns whether the stream continues */
    bool write_tokens(http_exchange& exchange, const generation& item,
                      std::size_t& offset, bool is_resumed,
                      boost::asio::yield_context yield);
    std::string refusal_code() const;
    void count_generation(const generation& item);
    std::string attempt_id(const http_request& request);

    // Status reports.
    void list_models(http_exchange& exchange, boost::asio::yield_context yield);
    void respond_with_load(http_exchange& exchange,
                           boost::asio::yield_context yield);
    void respond_with_cache_events(http_exchange& exchange,
                                   boost::asio::yield_context yield);

    // Orders.
    void receive_order(http_exchange& exchange,
                       boost::asio::yield_context yield);
    void respond_with_order(http_exchange& exchange,
                            boost::asio::yield_context yield);
    void raise_fence(http_exchange& exchange, boost::asio::yield_context yield);
    void execute_order(const engine_order& order,
                       boost::asio::yield_context yield);
    bool apply(const engine_order& order);
    void abort_active();

    // KV cache.
    void export_cache(http_exchange& exchange,
                      boost::asio::yield_context yield);
    void import_cache(http_exchange& exchange,
                      boost::asio::yield_context yield);

    // Background tasks.
    void run_batches(boost::asio::yield_context yield);
    void report_load(boost::asio::yield_context yield);
    void remove_expired_generations();

    boost::asio::io_context& context_;
    engine_settings settings_;
    engine_faults faults_;
    batch_scheduler scheduler_;
    notifier work_;
    notifier progress_;
    order_book orders_;
    cache_event_log cache_events_;
    silent_connections connections_;
    identifier_source identifiers_;
    std::map<std::string, retained_generation> generations_;
    std::set<std::string> adapters_;
    std::string role_;
    std::string model_;
    bool is_changing_ = false;
    bool is_draining_ = false;
    nlohmann::json load_report_;
    time_point load_reported_at_;
    std::string last_attempt_id_;
    std::map<std::string, unsigned> generations_by_attempt_;
    std::uint64_t runs_ = 0;
    std::uint64_t refusals_ = 0;
    std::uint64_t cancelled_ = 0;
    std::uint64_t changes_ = 0;
    std::uint64_t streams_aborted_by_change_ = 0;
};

} // namespace hibiscusferry::stand_ins

#endif
