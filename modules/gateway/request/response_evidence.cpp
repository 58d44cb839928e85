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

void response_evidence::begin(bool is_reused_connection)
{
    *this = {};
    is_reused_connection_ = is_reused_connection;
}

void response_evidence::add(unsigned status, const target_response& response)
{
    status_ = status;
    id_ = response.id;
    states_not_run_ = response.is_not_run;
    is_believed_ = false;
}

void response_evidence::conclude_not_run()
{
    is_believed_ = true;
}

bool response_evidence::states_not_run() const
{
    return states_not_run_;
}

std::vector<event_field> response_evidence::fields() const
{
    if (!is_reused_connection_)
        return {};
    std::vector<event_field> event_fields{
        {"connection", connection_text()},
        {"response_status", status_ ? std::to_string(*status_) : "none"}};
    if (status_)
    {
        event_fields.push_back({"response_id", std::string(to_text(id_))});
        event_fields.push_back({"not_run", std::string(statement_text())});
    }
    return event_fields;
}

std::string response_evidence::labels() const
{
    return "connection=\"" + connection_text() + "\",response_id=\"" +
           std::string(to_text(id_)) + "\",status=\"" +
           (status_ ? status_label(*status_) : "none") + "\",statement=\"" +
           std::string(statement_text()) + "\"";
}

std::string response_evidence::connection_text() const
{
    return is_reused_connection_.value_or(false) ? "reused" : "new";
}

std::string_view response_evidence::statement_text() const
{
    if (!states_not_run_)
        return "not_stated";
    return is_believed_ ? "believed" : "not_believed";
}

} // namespace hibiscusferry
