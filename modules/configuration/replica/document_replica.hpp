#ifndef HIBISCUSFERRY_CONFIGURATION_REPLICA_DOCUMENT_REPLICA_HPP
#define HIBISCUSFERRY_CONFIGURATION_REPLICA_DOCUMENT_REPLICA_HPP

#include "configuration/editor/document_editor.hpp"
#include "configuration/record/document_record.hpp"
#include "configuration/replica/replica_message.hpp"
#include "foundation/foundation.hpp"
#include "storage/storage.hpp"
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace hibiscusferry
{

/** Requests a row; the result is reported with row_read() of the same key. */
struct read_document_row
{
    std::string key;
};

/** Requests that a query be sent to a peer. Its reply, unless lost, is reported
    with reply_received(). */
struct send_query
{
    std::string peer;
    document_query query;
};

/** Reports that a document is active on this host from now on. */
struct document_activated
{
    document_record document;
};

/** State of a host in the load balancer's rotation, and its reason. */
enum class rotation_state
{
    starting,   ///< out: no confirmation that its documents are current
    current,    ///< in: its documents are within the staleness bound
    store_lost, ///< in: most hosts of its region cannot reach the store
    isolated    ///< out: it can reach neither the store nor enough peers
};

/** Reports that the host's rotation state has changed. */
struct rotation_changed
{
    rotation_state state = rotation_state::starting;
};

using replica_action =
    std::variant<read_document_row, send_query, document_activated,
                 rotation_changed, document_event>;

/** Limits of a document_replica. */
struct replica_limits
{
    /** A host whose documents may be older than this leaves the rotation,
        unless most hosts of its region have lost the store as well. */
    std::chrono::milliseconds staleness_bound{13000};
    /** The store is polled if the last confirmation is older than this. */
    std::chrono::milliseconds max_confirmation_age{3000};
    std::chrono::milliseconds query_interval{1000};
    /** A host that is out of rotation counts the peers whose last complete
        reply answers a query not older than this. */
    std::chrono::milliseconds peer_response_window{8000};
    /** A query without a reply is discarded after this. */
    std::chrono::milliseconds response_timeout{2000};
    /** Maximum total size of the texts in a reply, which always contains at
        least one document if there is one. */
    std::size_t max_reply_bytes = 64U << 10;
};

/** Keeps the documents of one host up to date.

    The replica reads the small index row if its last confirmation is old, and
    periodically queries one peer after another for newer documents. A
    confirmation is a point in time at which it is certain that nothing newer
    had been committed. It is the time at which a read of the index was
    started or, if it comes from a peer, the time at which the query was
    started minus the peer's confirmation age. Confirmations therefore spread
    as fast as documents, and most hosts do not have to read the store. The
    version of a document never decreases.

    A host without a recent confirmation stays in rotation only while it
    receives replies from peers and can reach more than half of the listed
    hosts of its region. Because a change is accepted only after more than half
    of each region hold it, such a group of hosts has every accepted change.

    A host that has just started is out of rotation until it has a
    confirmation. Without one, it waits for the staleness bound plus the peer
    response window, and then for replies from more than half of its region.
    After that time no change depends on a confirmation given by the host's
    previous incarnation. The class must be used from one thread.
*/
class document_replica
{
public:
    using actions = std::vector<replica_action>;

    /** @param seed  varies the order in which peers are queried */
    document_replica(std::string own_host, std::string region,
                     std::uint64_t seed, const replica_limits& limits);

    /** Sets the listed entry hosts, including this host. */
    void fleet_changed(const std::vector<fleet_host>& hosts);

    /** Sets the number of listed hosts of this region that are currently
        reachable, including this host. */
    void set_reachable_hosts(std::size_t hosts);

    /** Reports the result of read_document_row. */
    actions row_read(const std::string& key,
                     const result<table_row>& store_result, time_point now);

    /** Processes a peer's query.
        @returns the reply to send to the peer */
    document_reply answer_query(const document_query& query,
                                time_point now) const;

    /** Processes a peer's reply. */
    actions reply_received(const std::string& peer, const document_reply& reply,
                           time_point now);

    /** Performs all work that is due at `now`; to be called at next_wake(). */
    actions tick(time_point now);

    time_point next_wake() const;

    /** @returns the version up to which all documents are held */
    document_version revision() const;

    /** @returns the active document of a service, or nullptr */
    const document_record* document(const std::string& service) const;

    /** @returns the age of the last confirmation; nullopt if there was none */
    std::optional<std::chrono::milliseconds>
    confirmation_age(time_point now) const;

    rotation_state rotation() const;

    /** @returns whether the host belongs in the load balancer's rotation */
    bool is_in_rotation() const;

private:
    struct query_in_flight
    {
        std::string peer;
        time_point started_at;
    };
    /** An index read from the store while its missing documents are read. */
    struct pending_index
    {
        document_index index;
        time_point started_at;
        std::set<std::string> missing;
    };

    void poll_store(time_point now, actions& next_actions);
    void index_read(const result<table_row>& store_result,
                    actions& next_actions);
    void document_read(const std::string& key,
                       const result<table_row>& store_result,
                       actions& next_actions);
    void query_peers(time_point now, actions& next_actions);
    void send_query_to(const std::string& peer, time_point now,
                       actions& next_actions);
    void apply_document(const document_record& document, actions& next_actions);
    void confirm(time_point moment);
    void update_rotation(time_point now, actions& next_actions);
    rotation_state next_rotation_state(time_point now) const;
    bool has_replies_from_region_majority(time_point now) const;

    std::string own_host_;
    std::string region_;
    std::uint64_t seed_;
    replica_limits limits_;
    std::vector<std::string> peers_;
    std::vector<std::string> region_peers_;
    std::size_t region_hosts_ = 1;
    std::size_t reachable_hosts_ = 1;

    std::map<std::string, document_record> documents_;
    document_version revision_ = 0;
    std::optional<time_point> confirmed_at_;
    rotation_state rotation_ = rotation_state::starting;

    /** Start time of the index read in flight. */
    std::optional<time_point> index_read_started_at_;
    std::optional<pending_index> pending_;
    std::map<std::uint64_t, query_in_flight> queries_;
    std::uint64_t last_query_ = 0;
    std::size_t next_region_peer_ = 0;
    std::optional<time_point> last_reply_;
    std::optional<time_point> first_tick_;
    /** By host, the time of the last query whose reply brought this replica
        up to the host's revision. */
    std::map<std::string, time_point> last_region_replies_;
    time_point next_query_{};
    time_point next_poll_{};
};

} // namespace hibiscusferry

#endif
