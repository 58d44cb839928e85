#ifndef HIBISCUSFERRY_CONFIGURATION_EDITOR_DOCUMENT_EDITOR_HPP
#define HIBISCUSFERRY_CONFIGURATION_EDITOR_DOCUMENT_EDITOR_HPP

#include "claims/settled_write/store_write.hpp"
#include "configuration/record/document_record.hpp"
#include "foundation/foundation.hpp"
#include "storage/storage.hpp"
#include <chrono>
#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace hibiscusferry
{

/** An operator's request to change a document. */
struct document_change
{
    std::string service;
    /** Unique id of the change. The same change may be requested again with
        the same id on any host until its outcome is known. */
    std::string change_id;
    /** The version on which the change is based; 0 for a new service. */
    document_version expected_version = 0;
    std::string author;
    /** The complete new TOML text; empty to remove the service. */
    std::string text;
};

/** The result reported to an operator. */
enum class change_verdict
{
    committed,        ///< stored; hosts are being updated
    accepted,         ///< committed, and held by a majority of hosts in each
                      ///< region
    conflict,         ///< not written: another version is current
    change_id_reused, ///< not written: the id belongs to another change
    not_written,      ///< certainly not written by this request; retry
    unknown           ///< may still be written; retry with the same id
};

/** The response to an operator's request, sent once. The final result is
    `committed` if not enough hosts confirm the change before the response
    timeout; the response then names the regions without a confirming
    majority. */
struct change_response
{
    std::string request_id;
    change_verdict verdict = change_verdict::unknown;
    /** The version created by the change, or the current one on a conflict. */
    document_version version = 0;
    /** The current document; set on a conflict. */
    document_record current;
    /** The regions in which no majority of hosts has confirmed the change; set
        if the verdict is change_verdict::committed. */
    std::vector<std::string> missing_regions;
};

/** Requests one step at the table service for a request. The result is
    reported with commit_completed() or read_completed() of the same request. */
struct editor_step
{
    std::string request_id;
    store_step step;
};

/** Requests the revision held by a host; it is reported with
    host_revision_reported(). */
struct query_host_revision
{
    std::string host;
};

/** An event for the timeline. */
struct document_event
{
    event_number number;
    std::string service;
    document_version version = 0;
    std::string detail;
};

using editor_action = std::variant<change_response, editor_step,
                                   query_host_revision, document_event>;

/** A host that counts towards the confirmation of a change. */
struct fleet_host
{
    std::string host;
    std::string region;
};

/** Limits of a document_editor. */
struct editor_limits
{
    std::size_t max_changes_in_flight = 64;
    /** Time after which a change that is not committed is abandoned. */
    std::chrono::milliseconds write_timeout{9000};
    /** Time within which the operator receives a response. */
    std::chrono::milliseconds response_timeout{13000};
    /** Interval at which hosts that have not confirmed are polled. */
    std::chrono::milliseconds revision_poll_interval{1000};
};

/** Applies operators' changes to documents.

    A change is committed in one transaction, on condition that the versions
    of the document and the index are unchanged and that the change id is not
    yet stored. Of several concurrent changes one succeeds; the other operators
    receive the current document. A change is accepted once more than half of
    the listed hosts of each region hold it as well. Every group of hosts that
    may continue to serve without the store (see document_replica) therefore
    has the change. The class must be used from one thread.
*/
class document_editor
{
public:
    using actions = std::vector<editor_action>;

    /** @param process  id of this process, different for each incarnation */
    document_editor(std::string process, const editor_limits& limits);

    /** Sets the listed entry hosts. */
    void fleet_changed(std::vector<fleet_host> hosts);

    /** Starts processing an operator's change request. */
    actions change_requested(const std::string& request_id,
                             const document_change& change, time_point now);

    /** Reports the result of a commit_step. */
    actions commit_completed(const std::string& request_id,
                             const result<commit_receipt>& store_result,
                             time_point now);

    /** Reports the result of a read_step. */
    actions read_completed(const std::string& request_id,
                           const result<table_row>& store_result,
                           time_point now);

    /** Reports that a host holds all documents up to a version. */
    actions host_revision_reported(const std::string& host,
                                   document_version revision, time_point now);

    /** Performs all work that is due at `now`. */
    actions tick(time_point now);

    /** @returns the time of the next call of tick(); max() if none is needed
     */
    time_point next_wake() const;

    /** @returns the number of changes without a response or a definite
                 outcome */
    std::size_t changes_in_flight() const;

private:
    enum class change_stage
    {
        reading_document, ///< the current document is being read
        reading_change,   ///< an earlier commit of the change is being read
        reading_index,
        writing,   ///< the transaction is being committed
        confirming ///< hosts are being polled for the new version
    };

    struct change_in_flight
    {
        std::string request_id;
        document_change change;
        change_stage stage = change_stage::reading_document;
        bool is_answered = false;
        time_point write_deadline;
        time_point response_deadline;
        time_point wake = time_point::max();
        table_row document_row;
        document_record current;
        table_row index_row;
        document_version version = 0;
        std::optional<store_write> write;
        std::set<std::string> confirmed;
    };

    void begin_stage(change_in_flight& pending_change, change_stage stage,
                     actions& next_actions);
    void process_row(change_in_flight& pending_change, const table_row& row,
                     time_point now, actions& next_actions);
    void process_document_row(change_in_flight& pending_change,
                              const table_row& row, actions& next_actions);
    void process_change_row(change_in_flight& pending_change,
                            const table_row& row, time_point now,
                            actions& next_actions);
    void begin_write(change_in_flight& pending_change, time_point now,
                     actions& next_actions);
    void proceed(change_in_flight& pending_change,
                 std::optional<store_step> step, time_point now,
                 actions& next_actions);
    void begin_confirming(change_in_flight& pending_change, time_point now,
                          actions& next_actions);
    void confirm(change_in_flight& pending_change, time_point now,
                 actions& next_actions);
    void handle_deadline(change_in_flight& pending_change,
                         actions& next_actions);
    void handle_wake(change_in_flight& pending_change, time_point now,
                     actions& next_actions);
    std::vector<std::string>
    missing_regions(const change_in_flight& pending_change) const;
    void respond(change_in_flight& pending_change, change_verdict verdict,
                 actions& next_actions);
    void erase_if_done(const std::string& request_id);

    std::string process_;
    editor_limits limits_;
    std::vector<fleet_host> hosts_;
    std::map<std::string, change_in_flight> changes_;
    std::uint64_t last_write_ = 0;
};

} // namespace hibiscusferry

#endif
