#ifndef HIBISCUSFERRY_RUNTIME_DOCUMENTS_DOCUMENT_EXCHANGE_HPP
#define HIBISCUSFERRY_RUNTIME_DOCUMENTS_DOCUMENT_EXCHANGE_HPP

#include "runtime/documents/document_service.hpp"
#include "runtime/peers/peer_service.hpp"
#include <functional>
#include <map>
#include <string>

namespace hibiscusferry
{

/** Exchanges documents with other processes: sends the replica's queries to
    controllers and responds to queries from other processes. */
class document_exchange final : public kernel_service
{
public:
    static constexpr const char* name = "document_exchange";

    /** Called with a host's id and the revision that it holds. */
    using revision_handler =
        std::function<void(const std::string&, document_version)>;

    explicit document_exchange(process_core& core);

    /** Requests the revision of the documents at a host's controller. */
    void request_revision(const std::string& host);

    /** Sets the handler for responses to request_revision(). */
    void on_revision(revision_handler handler);

    result<void> start() override;
    void stop() override;

private:
    void respond(const std::string& process, const document_query& query);
    void dispatch_reply(const std::string& process,
                        const document_reply& reply);

    process_core& core_;
    peer_service* peers_ = nullptr;
    document_service* documents_ = nullptr;
    revision_handler on_revision_;
};

} // namespace hibiscusferry

#endif
