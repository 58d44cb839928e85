#include "gateway/request/response_evidence.hpp"

#include "gateway/request/request_limits.hpp"

#include <array>

namespace hibiscusferry
{

namespace
{

std::string_view to_text(response_id id)
{
    constexpr std::array<std::string_view, 3> names{"missing", "matching",
                                                    "other"};
    return names[static_cast<std::size_t>(id)];
}

} // namespace

void response_evidence::begin(bool is_reused_connection, bool has_request_id)
{
    *this = {};
    is_reused_connection_ = is_reused_connection;
    has_request_id_ = has_request_id;
}

void response_evidence::add(unsigned status, const target_response& response)
{
    ++responses_;
    status_ = status;
    response_ = response;
    is_believed_ = false;
}

bool response_evidence::belongs_to_request() const
{
    if (response_.id != response_id::missing)
        return response_.id == response_id::matching;
    const bool may_lack_id =
        !has_request_id_ || response_.statement == run_statement::not_run;
    return may_lack_id && is_alone_on_connection();
}

bool response_evidence::is_refusal() const
{
    return response_.statement == run_statement::not_run &&
           belongs_to_request();
}

bool response_evidence::conclude_not_run(bool is_complete)
{
    // The head names the request; without that, the whole response must be
    // sound.
    is_believed_ =
        is_refusal() && (is_complete || response_.id == response_id::matching);
    return is_believed_;
}

bool response_evidence::has_statement() const
{
    return response_.statement != run_statement::none;
}

bool response_evidence::is_alone_on_connection() const
{
    return !is_reused_connection_.value_or(true) && responses_ == 1;
}

std::vector<event_field> response_evidence::fields() const
{
    if (!is_reused_connection_)
        return {};
    std::vector<event_field> event_fields{
        {"connection", connection_text()},
        {"response_status", responses_ > 0 ? std::to_string(status_) : "none"}};
    if (responses_ > 0)
    {
        event_fields.push_back(
            {"response_id", std::string(to_text(response_.id))});
        event_fields.push_back({"not_run", std::string(statement_text())});
    }
    return event_fields;
}

std::string response_evidence::labels() const
{
    return "connection=\"" + connection_text() + "\",response_id=\"" +
           std::string(to_text(response_.id)) + "\",status=\"" +
           status_label(status_) + "\",statement=\"" +
           std::string(statement_text()) + "\"";
}

std::string response_evidence::connection_text() const
{
    return is_reused_connection_.value_or(false) ? "reused" : "new";
}

std::string_view response_evidence::statement_text() const
{
    if (!has_statement())
        return "not_stated";
    return is_believed_ ? "believed" : "not_believed";
}

} // namespace hibiscusferry
