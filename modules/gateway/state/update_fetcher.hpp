#ifndef HIBISCUSFERRY_GATEWAY_STATE_UPDATE_FETCHER_HPP
#define HIBISCUSFERRY_GATEWAY_STATE_UPDATE_FETCHER_HPP

#include "gateway/state/host_directory.hpp"
#include "process/process.hpp"
#include "sharing/sharing.hpp"
#include <functional>
#include <memory>

namespace hibiscusferry
{

/** Where an update came from. */
struct update_source
{
    std::string name;
    /** When it was asked for. */
    time_point asked_at{};
    /** Time from its first bytes to the last. */
    std::chrono::milliseconds transfer_duration{0};
};

/** The positions after which updates are wanted; version 0 for a whole table.
 */
using known_positions = std::array<store_position, fleet_table_count>;

/** Fetches updates of the fleet tables from other hosts, one response at a
    time. */
class update_fetcher
{
public:
    using updates_handler = std::function<void(
        std::vector<table_update> updates, const update_source& source)>;

    /** The path at which hosts serve their updates. */
    static constexpr const char* path = "/news";

    /** The core must outlive the fetcher. */
    update_fetcher(process_core& core, updates_handler on_updates);

    /** Asks a host for updates, unless a response is being fetched. The
        response may take long, as long as bytes of it arrive.
        @param max_silence  maximum time without any */
    void fetch(const host_record& host, const known_positions& known,
               std::chrono::milliseconds max_silence);

    bool is_fetching() const;

    /** Whether a response is arriving.
        @param max_silence  maximum time since the last bytes of it */
    bool is_receiving(std::chrono::milliseconds max_silence) const;

    /** The size of the part of a response that has arrived. */
    std::size_t received_bytes() const;

    /** Whether the sender of a request restores compressed rows; hosts of
        former versions do not. */
    static bool accepts_compressed_rows(const http_request& request);

    /** Reads the positions from a request of fetch(). */
    static known_positions positions_of(const http_request& request);

private:
    void receive(const result<http_response>& response, update_source source);
    void record_failure(std::error_code problem, const update_source& source);

    process_core& core_;
    updates_handler on_updates_;
    /** Null if nothing is being fetched. */
    std::shared_ptr<transfer_progress> progress_;
};

} // namespace hibiscusferry

#endif
