#include "router/control/control_service.hpp"

namespace hibiscusferry
{

namespace
{

constexpr std::chrono::milliseconds control_tick_interval{50};
constexpr std::chrono::milliseconds renewal_interval{1500};
constexpr std::chrono::milliseconds request_timeout{1000};
constexpr std::chrono::milliseconds report_interval{2000};
constexpr std::chrono::milliseconds reach_query_interval{1000};
/** Maximum age of the last reach reply of a controller. */
constexpr std::chrono::milliseconds max_reach_age{4000};

} // namespace

control_service::control_service(process_core& core)
    : core_(core)
{
}

result<void> control_service::start()
{
    const result<peer_service*> peers =
        core_.services().find<peer_service>(peer_service::name);
    const result<service_directory*> directory =
        core_.services().find<service_directory>(service_directory::name);
    const result<document_service*> documents =
        core_.services().find<document_service>(document_service::name);
    if (!peers || !directory || !documents)
        return make_error_code(kernel_error::not_found);
    peers_ = peers.value();
    documents_ = documents.value();
    directory_ = directory.value();

    peers_->on(message_type::routing_announcement,
               [this](const std::string&, const std::string& payload)
               {
                   const result<permission_reply> reply =
                       parse_permission_reply(payload);
                   if (reply)
                       handle_announcement(reply.value());
               });
    peers_->on(message_type::holder_redirect,
               [this](const std::string&, const std::string& payload)
               {
                   const result<holder_redirect> message =
                       parse_holder_redirect(payload);
                   if (message)
                       handle_holder_elsewhere(message.value());
               });
    peers_->on(message_type::stop_announcement,
               [this](const std::string&, const std::string& payload)
               {
                   const result<service_stop> message =
                       parse_service_stop(payload);
                   if (message)
                       handle_stop(message.value());
               });
    peers_->on(message_type::reachability_reply,
               [this](const std::string&, const std::string& payload)
               {
                   const result<reachability_reply> reply =
                       parse_reachability_reply(payload);
                   if (reply)
                       handle_reach_reply(reply.value());
               });
    core_.repeat(control_tick_interval, [this] { tick(); });
    core_.repeat(reach_query_interval, [this] { query_reach(); });
    return outcome::success();
}

void control_service::stop()
{
}

void control_service::tick()
{
    expire_requests();
    for (const std::shared_ptr<served_service>& service : directory_->all())
    {
        if (service->document().kind != service_kind::model)
            continue;
        service_state& state = services_[service->name()];
        renew(service, state);
        confirm_drained(service, state);
        if (core_.now() >= state.next_report)
            report(service, state);
    }
}

void control_service::query_reach()
{
    const bool is_reach_current = core_.now() - reach_received_ < max_reach_age;
    if (!is_reach_current)
    {
        documents_->set_reachable_hosts(1);
        peers_->try_next_controller();
    }
    peers_->send_to_any_controller(message_type::reachability_query,
                                   empty_payload());
}

void control_service::handle_reach_reply(const reachability_reply& reply)
{
    reach_received_ = core_.now();
    documents_->set_reachable_hosts(std::max<std::size_t>(1, reply.hosts));
}

void control_service::renew(const std::shared_ptr<served_service>& service,
                            service_state& state)
{
    if (core_.now() < state.next_request)
        return;
    state.next_request = core_.now() + renewal_interval;
    request_permission(service->name());
}

void control_service::request_permission(const std::string& service)
{
    const std::uint64_t id = ++last_request_id_;
    pending_requests_[id] = {service, core_.now()};
    send_to_holder(service, message_type::permission_request,
                   to_cbor(permission_request{id, service}));
}

void control_service::report(const std::shared_ptr<served_service>& service,
                             service_state& state)
{
    state.next_report = core_.now() + report_interval;
    send_to_holder(
        service->name(), message_type::router_load,
        to_cbor(service_load{service->name(), service->load_report()}));
}

void control_service::handle_announcement(const permission_reply& reply)
{
    const auto request = pending_requests_.find(reply.request_id);
    const std::shared_ptr<served_service> service =
        directory_->find(reply.announcement.service);
    if (request == pending_requests_.end() || !service)
        return;
    const time_point requested_at = request->second.requested_at;
    pending_requests_.erase(request);
    const bool is_new =
        service->permission().receive(reply.announcement, requested_at);
    if (is_new)
    {
        for (const std::string& target : reply.announcement.stopped_targets)
            confirm(service, target);
    }
    service->gate().capacity_changed();
}

void control_service::handle_holder_elsewhere(const holder_redirect& message)
{
    const auto request = pending_requests_.find(message.request_id);
    if (request == pending_requests_.end())
        return;
    pending_requests_.erase(request);
    service_state& state = services_[message.service];
    const bool is_changed = state.holder != message.host;
    state.holder = message.host;
    if (is_changed && !message.host.empty())
        request_permission(message.service);
}

void control_service::handle_stop(const service_stop& message)
{
    const std::shared_ptr<served_service> service =
        directory_->find(message.service);
    if (service && service->permission().receive(message.stop))
        confirm(service, message.stop.target);
}

void control_service::confirm(const std::shared_ptr<served_service>& service,
                              const std::string& target)
{
    const std::size_t in_flight = service->targets().in_flight(target);
    services_[service->name()].confirmed_in_flight[target] = in_flight;
    core_.journal().record(event_number::target_stopped,
                           {{"service", service->name()},
                            {"target", target},
                            {"in_flight", std::to_string(in_flight)}});
    send_to_holder(service->name(), message_type::stop_confirmation,
                   to_cbor(service->permission().confirm(target, in_flight)));
}

void control_service::confirm_drained(
    const std::shared_ptr<served_service>& service, service_state& state)
{
    std::vector<std::string> drained;
    for (const auto& [target, in_flight] : state.confirmed_in_flight)
    {
        if (in_flight > 0 && service->targets().in_flight(target) == 0)
            drained.push_back(target);
    }
    for (const std::string& target : drained)
        confirm(service, target);
}

void control_service::send_to_holder(const std::string& service,
                                     const char* type,
                                     const std::string& payload)
{
    const std::string& holder = services_[service].holder;
    if (holder.empty())
        peers_->send_to_any_controller(type, payload);
    else
        peers_->send_to_host(holder, type, payload);
}

void control_service::expire_requests()
{
    for (auto next = pending_requests_.begin();
         next != pending_requests_.end();)
    {
        if (core_.now() - next->second.requested_at < request_timeout)
        {
            ++next;
            continue;
        }
        // The holder may be unavailable, so the next request goes to any
        // controller.
        service_state& state = services_[next->second.service];
        if (state.holder.empty())
            peers_->try_next_controller();
        state.holder.clear();
        next = pending_requests_.erase(next);
    }
}

} // namespace hibiscusferry
