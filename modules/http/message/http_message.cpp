#include "http/message/http_message.hpp"

#include "http/message/url_encoding.hpp"
#include <algorithm>
#include <boost/algorithm/string/predicate.hpp>
#include <tuple>

namespace hibiscusferry
{

http_headers::http_headers(std::initializer_list<http_header> fields)
    : fields_(fields)
{
}

std::string_view http_headers::value(std::string_view name) const
{
    for (const http_header& field : fields_)
    {
        if (boost::algorithm::iequals(field.name, name))
            return field.value;
    }
    return {};
}

bool http_headers::has(std::string_view name) const
{
    return std::any_of(fields_.begin(), fields_.end(),
                       [name](const http_header& field)
                       { return boost::algorithm::iequals(field.name, name); });
}

void http_headers::set(std::string_view name, std::string value)
{
    remove(name);
    fields_.push_back({std::string(name), std::move(value)});
}

void http_headers::add(std::string name, std::string value)
{
    fields_.push_back({std::move(name), std::move(value)});
}

void http_headers::remove(std::string_view name)
{
    fields_.erase(
        std::remove_if(fields_.begin(), fields_.end(),
                       [name](const http_header& field)
                       { return boost::algorithm::iequals(field.name, name); }),
        fields_.end());
}

const std::vector<http_header>& http_headers::fields() const
{
    return fields_;
}

std::string_view http_request::path() const
{
    return std::string_view(target).substr(0, target.find('?'));
}

std::string http_request::query(std::string_view name) const
{
    const std::size_t start = target.find('?');
    if (start == std::string::npos)
        return {};

    std::string_view rest = std::string_view(target).substr(start + 1);
    while (!rest.empty())
    {
        const std::size_t end = std::min(rest.find('&'), rest.size());
        const std::string_view part = rest.substr(0, end);
        const std::size_t equals = std::min(part.find('='), part.size());
        if (part.substr(0, equals) == name)
            return url_decode(part.substr(std::min(equals + 1, part.size())));
        rest.remove_prefix(std::min(end + 1, rest.size()));
    }
    return {};
}

std::string http_endpoint::text() const
{
    return address + ":" + std::to_string(port);
}

bool operator<(const http_endpoint& left, const http_endpoint& right)
{
    return std::tie(left.address, left.port) <
           std::tie(right.address, right.port);
}

http_response json_response(unsigned status, std::string body)
{
    http_response response;
    response.status = status;
    response.headers.set("Content-Type", "application/json");
    response.body = std::move(body);
    return response;
}

} // namespace hibiscusferry
