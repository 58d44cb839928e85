#ifndef HIBISCUSFERRY_EXTRAS_SOAK_SOAK_CALLER_HPP
#define HIBISCUSFERRY_EXTRAS_SOAK_SOAK_CALLER_HPP

#include "soak/fault_set.hpp"
#include "soak/request_ledger.hpp"
#include "soak/response_reader.hpp"
#include "soak/seeded_random.hpp"
#include "soak/soak_host.hpp"
#include "soak/stream_reader.hpp"

#include <atomic>
#include <map>
#include <memory>
#include <vector>

namespace hibiscusferry::soak
{

/** A caller that sends one request after the other, and takes up streams that
    broke off. It goes on using connections for as long as they are open. */
class soak_caller
{
public:
    soak_caller(std::uint64_t seed, int number,
                const std::vector<std::unique_ptr<soak_host>>& hosts,
                request_ledger& ledger, const fault_set& faults,
                bool sends_prompts);

    /** Sends requests until `is_over` is set. */
    void run(const std::atomic<bool>& is_over);

private:
    /** A connection and the reader of its responses. */
    struct channel
    {
        std::unique_ptr<review::connection> peer;
        std::unique_ptr<response_reader> reader;
    };

    /** One request and what its caller expects. */
    struct request
    {
        std::string id;
        const request_type* type = nullptr;
        soak_host* host = nullptr;
        std::string fields;
        /** The fields that resume a stream. */
        std::string resumption;
        std::size_t response_bytes = 0;
        review::milliseconds time_left{0};
        review::steady_clock::time_point gives_up_at;
        bool leaves_early = false;
    };

    request make_request(const request_type& type);
    std::string message(const request& current);
    void ask();
    void ask_for_stream(const request_type& type);
    /** Sends a request whose length is not certain, with another request in its
        body, over a connection of its own. The ledger reports either if it
       runs.
    */
    void send_hidden_request(const request_type& type);
    /** @param stream  null for a response with a body
        @returns the outcome */
    std::string exchange(const request& current, stream_reader* stream);
    std::string read_response(const request& current, response_reader& reader,
                              stream_reader* stream, bool& stays_open);
    std::string read_body(const request& current,
                          const review::message_head& head,
                          response_reader& reader);
    std::string read_stream(const request& current, response_reader& reader,
                            stream_reader& stream);
    /** Returns the outcome of a response that is not complete, and reports one
        that is invalid. */
    std::string unfinished(const request& current,
                           const response_reader& reader,
                           response_reader::progress progress);
    channel* connect(const request& current);

    int number_;
    const std::vector<std::unique_ptr<soak_host>>& hosts_;
    request_ledger& ledger_;
    const fault_set& faults_;
    const bool sends_prompts_;
    seeded_random random_;
    std::uint64_t seed_;
    int requests_ = 0;
    std::map<std::string, channel> channels_;
};

} // namespace hibiscusferry::soak

#endif
