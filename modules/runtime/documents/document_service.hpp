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

/** The documents in force in this process: carries out what the
    document_replica decides.

    Reads of the table service go through the platform service; queries of
    peers go to the sender that the daemon sets, if there is one.
*/
class document_service final : public kernel_service
{
public:
    static constexpr const char* name = "documents";

    /** Told of each document when it comes into force; the document is null
        when the service was removed. */
    using listener =
        std::function<void(const std::string&, const service_document*)>;
    using query_sender =
        std::function<void(const std::string&, const document_query&)>;

    explicit document_service(process_core& core);

    /** Adds a listener; add before start. */
    void on_change(listener function);

    /** Sets how peers are asked; without it only the store is. */
    void send_queries_by(query_sender sender);

    /** A peer's reply to a query. */
    void take_reply(const std::string& peer, const document_reply& reply);

    /** How many hosts of this region can be reached, this one included. */
    void take_reachable(std::size_t hosts);

    /** The document in force, or null. */
    const service_document* document(const std::string& service) const;

    /** The names of all services with a document in force. */
    std::vector<std::string> names() const;

    const document_replica& replica() const;

    result<void> start() override;
    void stop() override;

private:
    void carry_out(const document_replica::actions& wanted);
    void carry_out(const read_document_row& wanted);
    void carry_out(const send_query& wanted);
    void carry_out(const document_activated& wanted);
    void carry_out(const rotation_changed& wanted);
    void carry_out(const document_event& wanted);
    void take_fleet();
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
