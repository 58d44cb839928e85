#ifndef HIBISCUSFERRY_GATEWAY_REQUEST_RESPONSE_EVIDENCE_HPP
#define HIBISCUSFERRY_GATEWAY_REQUEST_RESPONSE_EVIDENCE_HPP

#include "gateway/protocol/target_protocol.hpp"
#include <optional>
#include <string>
#include <vector>

namespace hibiscusferry
{

/** What an attempt at a target has shown about its request. Decides whether a
    response belongs to the request, and whether it proves that the request has
    not run.

    A response that carries the id of the request belongs to it. A response
    without an id may be a late response to an earlier exchange, unless its
    connection has carried nothing else. A request that is not proven to be not
    run may have run.
*/
class response_evidence
{
public:
    /** Begins an attempt over a connection.
        @param has_request_id  whether targets can name the request */
    void begin(bool is_reused_connection, bool has_request_id);

    /** Adds a response that arrived on the connection. */
    void add(unsigned status, const target_response& response);

    /** Whether the last response belongs to the request. Any other response
        says nothing about it. */
    bool belongs_to_request() const;

    /** Whether the last response belongs to the request and states that it was
        not run. */
    bool is_refusal() const;

    /** Decides whether the last response proves that the target has not run the
        request and never will.
        @param is_complete  whether the response was read to its end */
    bool conclude_not_run(bool is_complete);

    /** Whether the last response contains a statement that the request was not
        run, proven or not. */
    bool has_statement() const;

    /** Returns the evidence as fields of an event; none before an attempt. */
    std::vector<event_field> fields() const;

    /** Returns the evidence as labels of a metric, which have few values. */
    std::string labels() const;

private:
    /** Whether the last response can belong to no other exchange. */
    bool is_alone_on_connection() const;
    std::string connection_text() const;
    std::string_view statement_text() const;

    /** None before an attempt. */
    std::optional<bool> is_reused_connection_;
    bool has_request_id_ = true;
    unsigned responses_ = 0;
    unsigned status_ = 0;
    target_response response_;
    bool is_believed_ = false;
};

} // namespace hibiscusferry

#endif
