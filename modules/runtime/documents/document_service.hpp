#ifndef HIBISCUSFERRY_RUNTIME_DOCUMENTS_DOCUMENT_SERVICE_HPP
#define HIBISCUSFERRY_RUNTIME_DOCUMENTS_DOCUMENT_SERVICE_HPP

#include "configuration/configuration.hpp"
#include "document/document.hpp"
#include "process/process.hpp"
#include "storage/storage.hpp"
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace hibiscusferry
{

/** Holds the active documents of this process and executes the actions of
    the document_replica.

    Rows are read from the table service through the platform adapters.
    Queries to peers are passed to the sender that the daemon sets; without a
    sender they are not sent.
*/
class document_service final : public kernel_service
{
public:
    static constexpr const char* name = "documents";

    /** Called with a service's name and its document whenever the document
        becomes active. The document is null if the service was removed. */
    using listener =
        std::function<void(const std::string&, const service_document*)>;
    using query_sender =
        std::function<void(const std::string&, const document_query&)>;

    explicit document_service(process_core& core);

    /** Adds a listener. Listeners must be added before start(). */
    void on_change(listener callback);

    /** Sets the function that sends queries to peers. Without it only the
        store is queried. */
    void set_query_sender(query_sender sender);

    /** Processes a peer's reply to a query. */
    void receive_reply(const std::string& peer, const document_reply& reply);

    /** Sets the number of reachable hosts in this region, including this
        one. */
    void set_reachable_hosts(std::size_t hosts);

    /** Returns the active document of a service, or null. */
    const service_document* document(const std::string& service) const;

    /** Returns the names of all services that have an active document. */
    std::vector<std::string> names() const;

    const document_replica& replica() const;

    result<void> start() override;
    void stop() override;

private:
    void execute(const document_replica::actions& actions);
    void execute(const read_document_row& action);
    void execute(const send_query& action);
    void execute(const document_activated& action);
    void execute(const rotation_changed& action);
    void execute(const document_event& action);
    void update_fleet();
    std::string status() const;

    process_core& core_;
    table_store* table_ = nullptr;
    document_replica replica_;
    query_sender sender_;
    std::map<std::string, service_document> documents_;
    std::vector<listener> listeners_;
};

} // namespace hibiscusferry

#endif
