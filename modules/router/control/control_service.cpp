#include "router/control/control_service.hpp"

namespace hibiscusferry
{

namespace
{

constexpr std::chrono::milliseconds control_tick{50};
constexpr std::chrono::milliseconds renewal_interval{1500};
constexpr std::chrono::milliseconds request_limit{1000};
constexpr std::chrono::milliseconds report_interval{2000};
constexpr std::chrono::milliseconds reach_interval{1000};
/** A controller's reach counts for this long. */
constexpr std::chrono::milliseconds reach_lifetime{4000};

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
                       take_announcement(reply.value());
               });
    peers_->on(message_type::holder_redirect,
               [this](const std::string&, const std::string& payload)
               {
                   const result<holder_redirect> answer =
                       parse_holder_redirect(payload);
                   if (answer)
                       take_elsewhere(answer.value());
               });
    peers_->on(message_type::stop_announcement,
               [this](const std::string&, const std::string& payload)
               {
                   const result<service_stop> message =
                       parse_service_stop(payload);
                   if (message)
                       take_stop(message.value());
               });
    peers_->on(message_type::reachability_reply,
               [this](const std::string&, const std::string& payload)
               {
                   const result<reachability_reply> reply =
                       parse_reachability_reply(payload);
                   if (reply)
                       take_reach(reply.value());
               });
    core_.repeat(control_tick, [this] { tick(); });
    core_.repeat(reach_interval, [this] { ask_reach(); });
    return outcome::success();
}

void control_service::stop()
{
}

void control_service::tick()
{
    forget_unanswered();
    for (const std::shared_ptr<served_service>& service : directory_->all())
    {
        if (service->document().kind != service_kind::model)
            continue;
        service_state& state = services_[service->name()];
        renew(service, state);
        confirm_emptied(service, state);
        if (core_.now() >= state.next_report)
            report(service, state);
    }
}

void control_service::ask_reach()
{
    const bool is_heard = core_.now() - reach_heard_ < reach_lifetime;
    if (!is_heard)
    {
        documents_->set_reachable_hosts(1);
        peers_->try_next_controller();
    }
    peers_->send_to_any_controller(message_type::reachability_query,
                                   empty_payload());
}

void control_service::take_reach(const reachability_reply& reply)
{
    reach_heard_ = core_.now();
    documents_->set_reachable_hosts(std::max<std::size_t>(1, reply.hosts));
}

void control_service::renew(const std::shared_ptr<served_service>& service,
                            service_state& state)
{
    if (core_.now() < state.next_request)
        return;
    state.next_request = core_.now() + renewal_interval;
    ask(service->name());
}

void control_service::ask(const std::string& service)
{
    const std::uint64_t id = ++last_request_;
    requests_[id] = {service, core_.now()};
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

void control_service::take_announcement(const permission_reply& reply)
{
    const auto open = requests_.find(reply.request_id);
    const std::shared_ptr<served_service> service =
        directory_->find(reply.announcement.service);
    if (open == requests_.end() || !service)
        return;
    const time_point asked_at = open->second.asked_at;
    requests_.erase(open);
    const bool is_new =
        service->permission().receive(reply.announcement, asked_at);
    if (is_new)
    {
        for (const std::string& target : reply.announcement.stopped_targets)
            confirm(service, target);
    }
    service->gate().room_changed();
}

void control_service::take_elsewhere(const holder_redirect& answer)
{
    const auto open = requests_.find(answer.request_id);
    if (open == requests_.end())
        return;
    requests_.erase(open);
    service_state& state = services_[answer.service];
    const bool is_news = state.holder != answer.host;
    state.holder = answer.host;
    if (is_news && !answer.host.empty())
        ask(answer.service);
}

void control_service::take_stop(const service_stop& message)
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

void control_service::confirm_emptied(
    const std::shared_ptr<served_service>& service, service_state& state)
{
    std::vector<std::string> emptied;
    for (const auto& [target, in_flight] : state.confirmed_in_flight)
    {
        if (in_flight > 0 && service->targets().in_flight(target) == 0)
            emptied.push_back(target);
    }
    for (const std::string& target : emptied)
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

void control_service::forget_unanswered()
{
    for (auto next = requests_.begin(); next != requests_.end();)
    {
        if (core_.now() - next->second.asked_at < request_limit)
        {
            ++next;
            continue;
        }
        // The holder may be gone: any controller is asked next.
        service_state& state = services_[next->second.service];
        if (state.holder.empty())
            peers_->try_next_controller();
        state.holder.clear();
        next = requests_.erase(next);
    }
}

} // namespace hibiscusferry
