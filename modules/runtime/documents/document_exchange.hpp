#ifndef HIBISCUSFERRY_RUNTIME_DOCUMENTS_DOCUMENT_EXCHANGE_HPP
#define HIBISCUSFERRY_RUNTIME_DOCUMENTS_DOCUMENT_EXCHANGE_HPP

#include "runtime/documents/document_service.hpp"
#include "runtime/peers/peer_service.hpp"
#include <functional>
#include <map>
#include <string>

namespace hibiscusferry
{

/** Exchanges documents between processes: sends the replica's queries to
    controllers and answers those of others. */
class document_exchange final : public kernel_service
{
public:
    static constexpr const char* name = "document_exchange";

    /** Told the revision that a host holds. */
    using revision_handler =
        std::function<void(const std::string&, document_version)>;

    explicit document_exchange(process_core& core);

    /** Asks a host which revision of the documents its controller holds. */
    void request_revision(const std::string& host);

    /** Sets who is told the answers to request_revision(). */
    void on_revision(revision_handler function);

    result<void> start() override;
    void stop() override;

private:
    void answer(const std::string& process, const document_query& query);
    void take(const std::string& process, const document_reply& reply);

    process_core& core_;
    peer_service* peers_ = nullptr;
    document_service* documents_ = nullptr;
    revision_handler on_revision_;
};

} // namespace hibiscusferry

#endif
