#include "runtime/documents/document_exchange.hpp"

#include <limits>

namespace hibiscusferry
{

namespace
{

/** The id of queries that request only the revision. */
constexpr std::uint64_t revision_query_id = 0;

} // namespace

document_exchange::document_exchange(process_core& core)
    : core_(core)
{
}

void document_exchange::request_revision(const std::string& host)
{
    // A query with the maximum revision gets a reply without documents.
    const document_query query{revision_query_id,
                               std::numeric_limits<document_version>::max()};
    peers_->send_to_host(host, message_type::document_query, to_cbor(query));
}

void document_exchange::on_revision(revision_handler handler)
{
    on_revision_ = std::move(handler);
}

result<void> document_exchange::start()
{
    const result<peer_service*> peers =
        core_.services().find<peer_service>(peer_service::name);
    const result<document_service*> documents =
        core_.services().find<document_service>(document_service::name);
    if (!peers || !documents)
        return make_error_code(kernel_error::not_found);
    peers_ = peers.value();
    documents_ = documents.value();

    documents_->set_query_sender(
        [this](const std::string& host, const document_query& query) {
            peers_->send_to_host(host, message_type::document_query,
                                 to_cbor(query));
        });
    peers_->on(message_type::document_query,
               [this](const std::string& process, const std::string& payload)
               {
                   const result<document_query> query =
                       parse_document_query(payload);
                   if (query)
                       respond(process, query.value());
               });
    peers_->on(message_type::document_reply,
               [this](const std::string& process, const std::string& payload)
               {
                   const result<document_reply> reply =
                       parse_document_reply(payload);
                   if (reply)
                       dispatch_reply(process, reply.value());
               });
    return outcome::success();
}

void document_exchange::stop()
{
}

void document_exchange::respond(const std::string& process,
                                const document_query& query)
{
    const document_reply reply =
        documents_->replica().answer_query(query, core_.now());
    peers_->send(process, message_type::document_reply, to_cbor(reply));
}

void document_exchange::dispatch_reply(const std::string& process,
                                       const document_reply& reply)
{
    const std::string host = host_of_process(process);
    if (reply.query_id != revision_query_id)
        documents_->receive_reply(host, reply);
    else if (on_revision_)
        on_revision_(host, reply.revision);
}

} // namespace hibiscusferry
