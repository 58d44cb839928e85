#ifndef HIBISCUSFERRY_RUNTIME_MESSAGES_PEER_MESSAGES_HPP
#define HIBISCUSFERRY_RUNTIME_MESSAGES_PEER_MESSAGES_HPP

#include "admission/admission.hpp"
#include "authority/authority.hpp"
#include "configuration/configuration.hpp"
#include "membership/membership.hpp"
#include "roles/roles.hpp"
#include "routing/routing.hpp"
#include <string>
#include <vector>

namespace hibiscusferry
{

/** Types of messages between processes. */
namespace message_type
{
constexpr const char* membership = "membership";
constexpr const char* document_query = "document_query";
constexpr const char* document_reply = "document_reply";
constexpr const char* permission_request = "permission_request";
constexpr const char* routing_announcement = "routing_announcement";
constexpr const char* holder_redirect = "holder_elsewhere";
constexpr const char* stop_announcement = "stop_announcement";
constexpr const char* stop_confirmation = "stop_confirmation";
constexpr const char* router_load = "router_load";
constexpr const char* usage_report = "usage_report";
constexpr const char* demand_response = "demand_answer";
constexpr const char* reachability_query = "reach_query";
constexpr const char* reachability_reply = "reach_reply";
} // namespace message_type

/** A router's request to the holder of a service's authority for the targets
    that must receive no new requests. */
struct permission_request
{
    std::uint64_t request_id = 0;
    std::string service;
};

/** The response to a permission_request. */
struct permission_reply
{
    std::uint64_t request_id = 0;
    routing_announcement announcement;
};

/** The response to a permission_request from a controller that is not the
    holder. */
struct holder_redirect
{
    std::uint64_t request_id = 0;
    std::string service;
    /** The last known host of the holder; empty if it is unknown. */
    std::string host;
};

/** A stop_announcement with its service. */
struct service_stop
{
    std::string service;
    stop_announcement stop;
};

/** A router's load report for a model of a service. */
struct service_load
{
    std::string service;
    router_load_report report;
};

/** The number of hosts of its region that a controller reaches, including its
    own. It is the response to a reachability_query, whose payload is an empty
    map. */
struct reachability_reply
{
    std::uint32_t hosts = 0;
};

/** Encodes a message as its CBOR payload. */
std::string to_cbor(const membership_message& message);
std::string to_cbor(const document_query& message);
std::string to_cbor(const document_reply& message);
std::string to_cbor(const permission_request& message);
std::string to_cbor(const permission_reply& message);
std::string to_cbor(const holder_redirect& message);
std::string to_cbor(const service_stop& message);
std::string to_cbor(const stop_confirmation& message);
std::string to_cbor(const service_load& message);
std::string to_cbor(const usage_report& message);
std::string to_cbor(const demand_response& message);
std::string to_cbor(const reachability_reply& message);

/** Decodes a message from its CBOR payload.
    @returns std::errc::bad_message if the payload is not such a message */
result<membership_message> parse_membership_message(const std::string& cbor);
result<document_query> parse_document_query(const std::string& cbor);
result<document_reply> parse_document_reply(const std::string& cbor);
result<permission_request> parse_permission_request(const std::string& cbor);
result<permission_reply> parse_permission_reply(const std::string& cbor);
result<holder_redirect> parse_holder_redirect(const std::string& cbor);
result<service_stop> parse_service_stop(const std::string& cbor);
result<stop_confirmation> parse_stop_confirmation(const std::string& cbor);
result<service_load> parse_service_load(const std::string& cbor);
result<usage_report> parse_usage_report(const std::string& cbor);
result<demand_response> parse_demand_answer(const std::string& cbor);
result<reachability_reply> parse_reachability_reply(const std::string& cbor);

/** Returns the payload of a message that has no content: an empty map. */
std::string empty_payload();

} // namespace hibiscusferry

#endif
