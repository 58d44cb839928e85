#ifndef HIBISCUSFERRY_GATEWAY_CRASHES_CRASH_DIRECTORY_HPP
#define HIBISCUSFERRY_GATEWAY_CRASHES_CRASH_DIRECTORY_HPP

#include "gateway/crashes/prompt_quarantine.hpp"
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

/** A block that is suspected of crashing targets. */
struct suspected_block
{
    /** The id of the block, or its key if no prompt with it was seen here. */
    std::string id;
    std::size_t crashes = 0;
    unsigned failed_probes = 0;
    std::chrono::milliseconds first_crash_age{0};
};

/** The crashes of targets that any host of the fleet has seen, by the blocks of
    the prompts that the targets were beginning to respond to.

    Evidence spreads as a rumour: a host sends what is new to it to a few random
    hosts in each of the following rounds. In addition, every host regularly
    asks a random one for evidence that it lacks, so that hosts that were
    restarted or cut off learn it soon; see docs/design/crash-evidence.md.

    Used on the thread of the process_core only.
*/
class crash_directory final : public kernel_service, public prompt_quarantine
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

    std::vector<suspected_block> suspected_blocks() const;

    /** Ends the suspicion of a block at all hosts, as a completed generation
        does.
        @param id  as in suspected_block
        @returns whether the block was suspected */
    bool end_suspicion(const std::string& id);

    // =================================================================
    // prompt_quarantine

    prompt_treatment assess(const prompt_info& prompt,
                            std::chrono::milliseconds time_limit) override;
    void report_broken_generation(const target_record& target,
                                  const prompt_info& prompt,
                                  bool was_probe) override;
    void report_completion(const prompt_info& prompt) override;

private:
    /** The blocks that were in use when connections to a target broke. */
    struct accused_blocks
    {
        std::set<block_key> blocks;
        /** Those that were being probed. */
        std::set<block_key> probed;
        /** When the first connection broke. */
        time_point broken_at{};
    };

    /** The keys of the blocks that prompts share; the last block cannot be the
        cause, as it belongs to a single request or session. */
    static std::vector<block_key> shared_blocks(const prompt_info& prompt);
    void record_completion(const std::vector<block_key>& blocks);

    /** Opens a connection to a target in order to find out whether it has
        crashed, and records the crash if so. */
    void investigate(const target_record& target,
                     boost::asio::yield_context yield);
    void record_crash(const target_record& target,
                      const accused_blocks& accused);
    void remove_expired(time_point now);
    /** Whether this host is the one that probes a block. */
    bool is_prober(block_key block) const;

    void exchange();
    void send_news();
    void query_random_host();
    void send(crash_message::kind message_kind,
              const std::vector<block_key>& blocks,
              const boost::asio::ip::udp::endpoint& to);
    /** Up to `count` other hosts. */
    std::vector<boost::asio::ip::udp::endpoint> random_hosts(std::size_t count);

    bool receive(std::string_view bytes,
                 const boost::asio::ip::udp::endpoint& sender);
    void handle_message(const crash_message& message,
                        const boost::asio::ip::udp::endpoint& sender);

    /** Logs the blocks that have become suspected, or no longer are. */
    void log_changes();
    suspected_block describe(block_key block) const;
    /** The id of a block, if a prompt with it was seen here, or its key. */
    std::string id_of(block_key block) const;

    process_core& core_;
    std::string host_;
    const peer_directory& peers_;
    datagram_channel& datagrams_;
    std::mt19937_64 random_;
    crash_evidence evidence_;
    /** Blocks with new evidence, and until when it is sent. */
    std::map<block_key, time_point> news_;
    std::map<block_key, std::string> ids_;
    /** Those whose suspicion has been logged. */
    std::set<block_key> suspected_;
    /** Blocks that are being probed, and until when a result is awaited. */
    std::map<block_key, time_point> probes_;
    /** By the id of the target. */
    std::map<std::string, accused_blocks> investigations_;
    time_point queried_at_{};
    bool is_stopping_ = false;
};

} // namespace hibiscusferry

#endif
