#ifndef HIBISCUSFERRY_GATEWAY_CRASHES_CRASH_DIRECTORY_HPP
#define HIBISCUSFERRY_GATEWAY_CRASHES_CRASH_DIRECTORY_HPP

#include "gateway/crashes/request_quarantine.hpp"
#include "gateway/sharing/datagram_channel.hpp"
#include "gateway/state/peer_directory.hpp"
#include "sharing/sharing.hpp"
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace hibiscusferry
{

/** A block of prompts, or a request, that is suspected of crashing targets. */
struct suspected_input
{
    /** The id of the block, or its key if no prompt with it was seen here;
        "request-" and the fingerprint for a request. */
    std::string id;
    /** Method and path of a request that was seen here; empty for a block. */
    std::string request;
    std::size_t crashes = 0;
    unsigned failed_probes = 0;
    std::chrono::milliseconds first_crash_age{0};
};

/** The crashes of targets that any host of the fleet has seen, by the requests
    to which the targets had not responded or were beginning to respond, and by
    the shared blocks of their prompts.

    Evidence spreads as a rumour: a host sends what is new to it to a few random
    hosts in each of the following rounds. In addition, every host regularly
    asks a random one for evidence that it lacks, so that hosts that were
    restarted or cut off learn it soon; see docs/design/crash-evidence.md.

    Used on the thread of the process_core only.
*/
class crash_directory final : public kernel_service, public request_quarantine
{
public:
    static constexpr const char* name = "crash_directory";

    /** @param host       the name of this host
        @param peers      the hosts of the fleet; must outlive this
        @param datagrams  the channel to the other hosts; must outlive this */
    crash_directory(process_core& core, std::string host,
                    const peer_directory& peers, datagram_channel& datagrams);

    result<void> start() override;
    void stop() override;

    std::vector<suspected_input> suspected_inputs() const;

    /** Ends the suspicion of an input at all hosts, as a completed request
        does.
        @param id  as in suspected_input
        @returns whether the input was suspected */
    bool end_suspicion(const std::string& id);

    // =================================================================
    // request_quarantine

    request_treatment assess(const gateway_request& request,
                             std::chrono::milliseconds time_limit) override;
    void report_broken_attempt(const target_record& target,
                               const gateway_request& request,
                               bool was_probe) override;
    bool investigate_broken_attempt(const target_record& target,
                                    const gateway_request& request,
                                    bool was_probe,
                                    boost::asio::yield_context yield) override;
    void report_completion(const gateway_request& request) override;

private:
    /** The inputs that were in use when connections to a target broke. */
    struct accused_inputs
    {
        std::set<input_key> inputs;
        /** Those that were being probed. */
        std::set<input_key> probed;
        /** When the first connection broke. */
        time_point broken_at{};
    };

    /** The inputs of a request, with the ids of blocks, or with what describes
        the request to an operator. */
    using described_inputs = std::map<input_key, std::string>;

    /** The shared blocks of the prompt, if any, and the whole request. The last
        block is not an input of its own, as it belongs to a single request or
        session. */
    static described_inputs inputs_of(const gateway_request& request);
    void record_completion(const std::vector<input_key>& inputs);

    /** Adds the inputs of a request to those that were in use at a target.
        @returns whether the caller has to find out if the target has crashed */
    bool accuse(const target_record& target, const gateway_request& request,
                bool was_probe);
    /** Opens a connection to a target in order to find out whether it is
        running. */
    bool is_running(const target_record& target,
                    boost::asio::yield_context yield);
    void finish_investigation(const target_record& target, bool has_crashed);
    void record_crash(const target_record& target,
                      const accused_inputs& accused);
    void remove_expired(time_point now);
    /** Whether this host is one of those that may probe an input now. */
    bool is_prober(input_key input, time_point now) const;

    void exchange();
    void send_news();
    void query_random_host();
    void send(crash_message::kind message_kind,
              const std::vector<input_key>& inputs,
              const boost::asio::ip::udp::endpoint& to);
    /** Up to `count` other hosts. */
    std::vector<boost::asio::ip::udp::endpoint> random_hosts(std::size_t count);

    bool receive(std::string_view bytes,
                 const boost::asio::ip::udp::endpoint& sender);
    void handle_message(const crash_message& message,
                        const boost::asio::ip::udp::endpoint& sender);

    /** Logs the inputs that have become suspected, or no longer are. */
    void log_changes();
    void log_change(event_number number, input_key input);
    suspected_input describe(input_key input) const;
    /** See suspected_input::id. */
    std::string id_of(input_key input) const;

    process_core& core_;
    std::string host_;
    const peer_directory& peers_;
    datagram_channel& datagrams_;
    std::mt19937_64 random_;
    crash_evidence evidence_;
    /** Inputs with new evidence, and until when it is sent. */
    std::map<input_key, time_point> news_;
    described_inputs descriptions_;
    /** Those whose suspicion has been logged. */
    std::set<input_key> suspected_;
    /** Inputs that are being probed, and until when a result is awaited. */
    std::map<input_key, time_point> probes_;
    /** By the id of the target. */
    std::map<std::string, accused_inputs> investigations_;
    time_point queried_at_{};
    bool is_stopping_ = false;
};

} // namespace hibiscusferry

#endif
