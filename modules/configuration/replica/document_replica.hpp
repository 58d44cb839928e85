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

/** Asks for a row; answered with row_read() of the same key. */
struct read_document_row
{
    std::string key;
};

/** Asks for a query to be sent to a peer; its reply comes back with
    reply_received(), or never. */
struct send_query
{
    std::string peer;
    document_query query;
};

/** A document is in force on this host from now on. */
struct document_activated
{
    document_record document;
};

/** Why a host is in the balancer's rotation, or is not. */
enum class rotation_state
{
    starting,    ///< out: it does not yet know which documents are current
    current,     ///< in: its documents are current within the bound
    store_lost,  ///< in: with most hosts of its region it has lost the store
    out_of_touch ///< out: it hears neither the store nor enough peers
};

/** The host enters or leaves the rotation, or stays for another reason. */
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
        unless most hosts of its region have lost the store with it. */
    std::chrono::milliseconds staleness_bound{13000};
    /** The store is read when the last confirmation is older than this. */
    std::chrono::milliseconds poll_age{3000};
    std::chrono::milliseconds query_interval{1000};
    /** Peers that answered within this count as heard by a host that is out
        of rotation. */
    std::chrono::milliseconds hearing_window{8000};
    /** A query or read without an answer is forgotten after this. */
    std::chrono::milliseconds answer_time{2000};
    /** Bytes of texts in a reply; one document is always sent. */
    std::size_t reply_bytes = 64U << 10;
};

/** Learns which documents are in force, for one host.

    It reads the small index row when its last confirmation is old, and asks
    a peer in turn what is newer. A confirmation is a moment at which it is
    certain that nothing newer had been committed: when a read of the index
    was begun, or, by way of a peer, when the query was begun less the
    peer's confirmation age. So confirmations spread as fast as documents,
    and most hosts need not read the store. A document's version only ever
    grows.

    A host without a recent confirmation stays in rotation only while it
    hears peers and can reach more than half of the listed hosts of its
    region: a change is not called accepted before more than half of each
    region hold it, so such a group has every accepted change. A host
    that has just started is out until it has a confirmation. Without one it
    waits for the bound and a hearing window, and then for that many of its
    region: by then no change counts on what its former process confirmed. Used
   from one thread.
*/
class document_replica
{
public:
    using actions = std::vector<replica_action>;

    /** @param seed  varies the order in which peers are asked */
    document_replica(std::string own_host, std::string region,
                     std::uint64_t seed, const replica_limits& limits);

    /** All listed entry hosts, this one included. */
    void fleet_changed(const std::vector<fleet_host>& hosts);

    /** How many listed hosts of this region can be reached at present, this
        one included. */
    void set_reachable_hosts(std::size_t hosts);

    /** The answer to read_document_row. */
    actions row_read(const std::string& key, const result<table_row>& answer,
                     time_point now);

    /** A peer's query; the reply is to be sent back to it. */
    document_reply answer_query(const document_query& query,
                                time_point now) const;

    /** A peer's reply. */
    actions reply_received(const std::string& peer, const document_reply& reply,
                           time_point now);

    /** Whatever is due now; to be called at next_wake(). */
    actions tick(time_point now);

    time_point next_wake() const;

    /** All documents up to this version are held. */
    document_version revision() const;

    /** The document in force, or null. */
    const document_record* document(const std::string& service) const;

    /** How old the last confirmation is; none: there was none. */
    std::optional<std::chrono::milliseconds>
    confirmation_age(time_point now) const;

    rotation_state rotation() const;

    /** Whether the host belongs in the balancer's rotation. */
    bool is_in_rotation() const;

private:
    struct open_query
    {
        std::string peer;
        time_point begun;
    };
    /** An index read from the store whose documents are being fetched. */
    struct pending_index
    {
        document_index index;
        time_point begun;
        std::set<std::string> missing;
    };

    void poll_store(time_point now, actions& wanted);
    void index_read(const result<table_row>& answer, actions& wanted);
    void document_read(const std::string& key, const result<table_row>& answer,
                       actions& wanted);
    void query_peers(time_point now, actions& wanted);
    void send_query_to(const std::string& peer, time_point now,
                       actions& wanted);
    void take(const document_record& document, actions& wanted);
    void confirm(time_point moment);
    void judge_rotation(time_point now, actions& wanted);
    rotation_state judged_rotation(time_point now) const;
    bool has_heard_most_of_region(time_point now) const;

    std::string own_host_;
    std::string region_;
    std::uint64_t seed_;
    replica_limits limits_;
    std::vector<std::string> peers_;
    std::vector<std::string> region_peers_;
    std::size_t region_hosts_ = 1;
    std::size_t reachable_ = 1;

    std::map<std::string, document_record> documents_;
    document_version revision_ = 0;
    std::optional<time_point> confirmed_at_;
    rotation_state rotation_ = rotation_state::starting;

    /** When the index read that is under way was begun. */
    std::optional<time_point> index_read_begun_;
    std::optional<pending_index> pending_;
    std::map<std::uint64_t, open_query> queries_;
    std::uint64_t last_query_ = 0;
    std::size_t next_region_peer_ = 0;
    std::optional<time_point> last_reply_;
    std::optional<time_point> first_tick_;
    /** When hosts of the region were last heard, their documents taken over
        whole. */
    std::map<std::string, time_point> heard_hosts_;
    time_point next_query_{};
    time_point next_poll_{};
};

} // namespace hibiscusferry

#endif
