#ifndef HIBISCUSFERRY_EXTRAS_SOAK_TARGET_EXCHANGE_HPP
#define HIBISCUSFERRY_EXTRAS_SOAK_TARGET_EXCHANGE_HPP

#include "soak/seeded_random.hpp"
#include "soak/soak_target.hpp"

#include "wire.hpp"
#include <optional>
#include <string>

namespace hibiscusferry::soak
{

/** One request at a target and its response, with at most one misbehaviour.

    A target is honest to the ledger: it records a run before any byte of a
    response that results from it.
*/
class target_exchange
{
public:
    target_exchange(review::connection& peer, const review::message_head& head,
                    target_incarnation& life, const target_settings& settings,
                    const target_surroundings& surroundings);

    /** @param extra  bytes that are sent before the response and belong to an
                      earlier exchange; replaced by those of this exchange
        @returns whether the connection stays open */
    bool serve(std::string& extra);

private:
    using action = bool (target_exchange::*)();

    struct behaviour
    {
        const char* fault;
        int per_mille;
        bool for_streams;
        bool for_bodies;
        action act;
    };

    enum class ending
    {
        complete,
        closed,
        reset
    };

    /** How a response is sent. */
    struct response_plan
    {
        bool is_framed = true;
        ending end = ending::complete;
        bool has_pause = false;
        std::string fields;
    };

    static const std::vector<behaviour>& behaviours();
    bool serve_request();
    /** Serves calls that are no requests of callers.
        @returns none if it is one */
    std::optional<std::string> control_response();
    action choose();
    /** Whether the response is a series of events. */
    bool is_stream() const;
    /** Whether only the prompt is to be prefilled, which is no run. */
    bool is_prefill() const;

    // Behaviours; they return whether the connection stays open.
    bool answer();
    bool reset_unread();
    bool reset_unanswered();
    bool close_unanswered();
    bool cut();
    bool refuse();
    bool refuse_without_id();
    bool answer_twice();
    bool fail_after_run();
    bool fail_as_not_run();
    bool answer_early();
    bool stay_silent();
    bool pause();
    bool answer_and_close();
    bool answer_unframed();
    bool end_unframed_early();
    bool refuse_late();
    bool contradict();
    bool answer_invalidly();

    bool read_body();
    void run();
    /** Runs and responds in full or in part. */
    bool respond(const response_plan& plan);
    bool send_body(const response_plan& plan);
    bool send_stream(const response_plan& plan);
    bool send_event(int number, const response_plan& plan, bool is_cut);
    std::string event(int number);
    std::string body_text();
    /** A response with a length. */
    std::string message(int status, const std::string& fields,
                        const std::string& body, bool has_id = true);
    std::string response_fields();
    bool end(ending how);
    bool reset();
    /** @returns whether the target and the connection are still there */
    bool wait(review::milliseconds duration);

    review::connection& peer_;
    const review::message_head& head_;
    target_incarnation& life_;
    const target_settings& settings_;
    const target_surroundings& surroundings_;
    std::string id_;
    const request_type* type_;
    seeded_random random_;
    std::string run_;
    std::string extra_;
};

} // namespace hibiscusferry::soak

#endif
