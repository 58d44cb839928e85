#ifndef HIBISCUSFERRY_GATEWAY_REQUEST_RESPONSE_EVIDENCE_HPP
#define HIBISCUSFERRY_GATEWAY_REQUEST_RESPONSE_EVIDENCE_HPP

#include "gateway/protocol/target_protocol.hpp"
#include <optional>
#include <string>
#include <vector>

namespace hibiscusferry
{

/** What an attempt at a target has shown about its request: the connection that
    was used, the last response that arrived on it, and the conclusion drawn
    from that response. */
class response_evidence
{
public:
    /** Begins an attempt over a connection. */
    void begin(bool is_reused_connection);

    /** Adds a response that arrived on the connection. */
    void add(unsigned status, const target_response& response);

    /** Records that the request counts as not run because of the response. */
    void conclude_not_run();

    /** Whether the last response states that the request was not run. */
    bool states_not_run() const;

    /** Returns the evidence as fields of an event; none before an attempt. */
    std::vector<event_field> fields() const;

    /** Returns the evidence as labels of a metric, which have few values. */
    std::string labels() const;

private:
    std::string connection_text() const;
    std::string_view statement_text() const;

    /** None before an attempt. */
    std::optional<bool> is_reused_connection_;
    std::optional<unsigned> status_;
    response_id id_ = response_id::missing;
    bool states_not_run_ = false;
    bool is_believed_ = false;
};

} // namespace hibiscusferry

#endif
