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

/** An operator's wish to change a document. */
struct document_change
{
    std::string service;
    /** Unique for this change. The same change may be asked for again with
        the same id, at any host, until its outcome is known. */
    std::string change_id;
    /** The version that the operator started from; 0 for a new service. */
    document_version expected_version = 0;
    std::string author;
    /** The whole new TOML text; empty removes the service. */
    std::string text;
};

/** What an operator is told. */
enum class change_verdict
{
    committed,        ///< in the table; hosts are taking it over
    accepted,         ///< committed, and held by most hosts of each region
    conflict,         ///< not written: another version is current
    change_id_reused, ///< not written: the id belongs to another change
    not_written,      ///< not written by this request, for certain; ask again
    unknown           ///< may be written yet; ask again with the same id
};

/** Tells an operator what became of a change; sent once. `committed` is the
    end for the operator's request, too, when the hosts' confirmation does
    not come in time; it names the regions that lack it. */
struct change_response
{
    std::string request_id;
    change_verdict verdict = change_verdict::unknown;
    /** The version that the change made, or on conflict the current one. */
    document_version version = 0;
    /** On conflict: the current document. */
    document_record current;
    /** When committed: regions where most hosts have not confirmed it. */
    std::vector<std::string> missing_regions;
};

/** Asks for a step at the table service for a request; answered with
    commit_completed() or read_completed() of the same request. */
struct editor_step
{
    std::string request_id;
    store_step step;
};

/** Asks a host which version it holds; answered with host_revision_reported().
 */
struct query_host_revision
{
    std::string host;
};

/** An event for the time line. */
struct document_event
{
    event_number number;
    std::string service;
    document_version version = 0;
    std::string detail;
};

using editor_action = std::variant<change_response, editor_step,
                                   query_host_revision, document_event>;

/** A host as the confirmation of a change counts it. */
struct fleet_host
{
    std::string host;
    std::string region;
};

/** Limits of a document_editor. */
struct editor_limits
{
    std::size_t max_changes_in_flight = 64;
    /** How long a change is tried at the store. */
    std::chrono::milliseconds write_time{9000};
    /** When the operator gets an answer at the latest. */
    std::chrono::milliseconds answer_time{13000};
    /** How often hosts that have not confirmed are asked. */
    std::chrono::milliseconds ask_interval{1000};
};

/** Applies operators' changes to documents.

    A change is committed in one transaction, conditional on the document's
    and the index's versions and on the change id's absence. Of operators
    who race, one wins; the others are told the current document. A change
    is accepted when, besides, more than half of the listed hosts of each
    region hold it, so that no group of hosts that may go on serving without
    the store lacks it (see document_replica). Used from one thread.
*/
class document_editor
{
public:
    using actions = std::vector<editor_action>;

    /** @param process  id of this process, unique over time */
    document_editor(std::string process, const editor_limits& limits);

    /** All listed entry hosts. */
    void fleet_changed(std::vector<fleet_host> hosts);

    /** An operator asks for a change. */
    actions change_requested(const std::string& request_id,
                             const document_change& change, time_point now);

    /** The answer to a commit_step. */
    actions commit_completed(const std::string& request_id,
                             const result<commit_receipt>& answer,
                             time_point now);

    /** The answer to a read_step. */
    actions read_completed(const std::string& request_id,
                           const result<table_row>& answer, time_point now);

    /** A host holds all documents up to a version. */
    actions host_revision_reported(const std::string& host,
                                   document_version revision, time_point now);

    /** Whatever is due now. */
    actions tick(time_point now);

    /** When tick() should be called next; max() when nothing is due. */
    time_point next_wake() const;

    /** Changes without a final answer, or not settled yet. */
    std::size_t changes_in_flight() const;

private:
    enum class change_stage
    {
        reading_document, ///< which version is current?
        reading_change,   ///< has this change been made before?
        reading_index,
        writing,   ///< the transaction is being settled
        confirming ///< hosts are taking it over
    };

    struct open_change
    {
        std::string request_id;
        document_change change;
        change_stage stage = change_stage::reading_document;
        bool is_answered = false;
        time_point write_until;
        time_point answer_at;
        time_point wake = time_point::max();
        table_row document_row;
        document_record current;
        table_row index_row;
        document_version version = 0;
        std::optional<store_write> write;
        std::set<std::string> confirmed;
    };

    void begin_stage(open_change& subject, change_stage stage, actions& wanted);
    void take_row(open_change& subject, const table_row& row, time_point now,
                  actions& wanted);
    void take_document(open_change& subject, const table_row& row,
                       actions& wanted);
    void take_change(open_change& subject, const table_row& row, time_point now,
                     actions& wanted);
    void begin_write(open_change& subject, time_point now, actions& wanted);
    void proceed(open_change& subject, std::optional<store_step> step,
                 time_point now, actions& wanted);
    void begin_confirming(open_change& subject, time_point now,
                          actions& wanted);
    void confirm(open_change& subject, time_point now, actions& wanted);
    void pass_deadline(open_change& subject, actions& wanted);
    void pass_wake(open_change& subject, time_point now, actions& wanted);
    std::vector<std::string> missing_regions(const open_change& subject) const;
    void answer(open_change& subject, change_verdict verdict, actions& wanted);
    void erase_if_done(const std::string& request_id);

    std::string process_;
    editor_limits limits_;
    std::vector<fleet_host> hosts_;
    std::map<std::string, open_change> changes_;
    std::uint64_t last_write_ = 0;
};

} // namespace hibiscusferry

#endif
