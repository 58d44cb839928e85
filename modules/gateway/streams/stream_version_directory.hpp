#ifndef HIBISCUSFERRY_GATEWAY_STREAMS_STREAM_VERSION_DIRECTORY_HPP
#define HIBISCUSFERRY_GATEWAY_STREAMS_STREAM_VERSION_DIRECTORY_HPP

#include "gateway/sharing/datagram_channel.hpp"
#include "gateway/state/peer_directory.hpp"
#include "gateway/streams/stream_versions.hpp"
#include "sharing/sharing.hpp"
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace hibiscusferry
{

/** Bounds of a stream_version_directory. */
struct stream_version_settings
{
    /** Number of other hosts that store the version of a stream. */
    std::size_t copies = 3;
    /** Number of hosts that are asked. More than store it, since the list of
        hosts may have changed in the meantime. */
    std::size_t asked_hosts = 6;
    /** Maximum number of records that this host stores. */
    std::size_t max_records = 32768;
    /** Maximum number of questions that await an answer. */
    std::size_t max_questions = 1024;
};

/** The software version of the target that began a stream, for streams that
    began on any host of the fleet.

    The host that forwards the first event of a stream records the version.
    It stores the record and sends it to a few other hosts, selected by a hash
   of the request id. The host that receives the request to resume the stream
   asks the hosts that the same hash selects. Records are sent once and are not
    stored on disk; see docs/design/stream-versions.md for what is lost when.

    Used on the thread of the process_core only.
*/
class stream_version_directory final : public kernel_service,
                                       public stream_versions
{
public:
    static constexpr const char* name = "stream_version_directory";

    /** @param host       the name of this host
        @param peers      the hosts of the fleet; must outlive this
        @param datagrams  the channel to the other hosts; must outlive this */
    stream_version_directory(process_core& core, std::string host,
                             const peer_directory& peers,
                             datagram_channel& datagrams,
                             const stream_version_settings& settings = {});

    result<void> start() override;
    void stop() override;

    // =================================================================
    // stream_versions

    /** A version that is longer than max_stream_version_bytes is not recorded,
        and a lifetime is limited to max_stream_record_lifetime. */
    void record(const std::string& request_id, const std::string& version,
                std::chrono::milliseconds lifetime) override;

    /** Asks other hosts if necessary, and sends each question twice if no
        answer arrives. A version that is found is stored on this host. */
    std::optional<std::string> find(const std::string& request_id,
                                    std::chrono::milliseconds timeout,
                                    boost::asio::yield_context yield) override;

private:
    /** A question that awaits answers. */
    struct pending_question
    {
        explicit pending_question(boost::asio::io_context& context);

        /** Whether no further answer has to be awaited. */
        bool is_complete() const;

        std::uint64_t number = 0;
        stream_key key = 0;
        /** The hosts that were asked and have not answered. */
        std::set<boost::asio::ip::udp::endpoint> unanswered;
        std::set<boost::asio::ip::udp::endpoint> answered;
        std::optional<stream_version> value;
        /** Cancelled when no further answer has to be awaited. */
        boost::asio::steady_timer timer;
    };

    /** Processes a datagram, if it is a stream_version_message. */
    bool receive(std::string_view bytes,
                 const boost::asio::ip::udp::endpoint& sender);
    void handle_record(const stream_version_message& message,
                       const boost::asio::ip::udp::endpoint& sender);
    void handle_question(const stream_version_message& message,
                         const boost::asio::ip::udp::endpoint& sender);
    void handle_answer(const stream_version_message& message,
                       const boost::asio::ip::udp::endpoint& sender);

    /** Asks other hosts and waits for their answers. */
    void ask(pending_question& question, std::chrono::milliseconds timeout,
             boost::asio::yield_context yield);
    /** Sends the question to the selected hosts that have not answered. */
    void send(pending_question& question);
    /** Waits until the question is complete, for at most `duration`. */
    void wait(pending_question& question, std::chrono::milliseconds duration,
              boost::asio::yield_context yield);

    std::vector<boost::asio::ip::udp::endpoint> select_peers(stream_key key,
                                                             std::size_t count);
    void update_candidates();
    void store(stream_key key, const stream_version& value);

    process_core& core_;
    std::string host_;
    const peer_directory& peers_;
    datagram_channel& datagrams_;
    stream_version_settings settings_;
    stream_version_store versions_;
    record_host_selector selector_;
    std::map<std::string, boost::asio::ip::udp::endpoint> endpoints_;
    bool has_peer_list_ = false;
    /** The revision of the list from which the selector was filled. */
    std::optional<std::uint64_t> peers_revision_;
    std::uint64_t last_number_;
    std::map<std::uint64_t, std::shared_ptr<pending_question>> questions_;
    bool is_stopping_ = false;
};

} // namespace hibiscusferry

#endif
