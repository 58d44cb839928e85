#include "controller/membership/membership_service.hpp"

#include <nlohmann/json.hpp>

namespace hibiscusferry
{

namespace
{

constexpr std::chrono::milliseconds membership_tick_interval{100};
/** Time allowed for a planned stop to propagate to the other hosts. */
constexpr std::chrono::milliseconds leave_propagation_time{1000};

event_number event_of(member_state state)
{
    static constexpr event_number events[] = {
        event_number::host_alive, event_number::host_suspected,
        event_number::host_leaving, event_number::host_excluded};
    return events[static_cast<std::size_t>(state)];
}

} // namespace

membership_service::membership_service(process_core& core)
    : core_(core)
    , view_(core.settings().host, membership_settings{}, stable_hash(core.id()),
            core.now())
{
}

const membership_view& membership_service::view() const
{
    return view_;
}

result<void> membership_service::start()
{
    const result<peer_service*> peers =
        core_.services().find<peer_service>(peer_service::name);
    const result<document_service*> documents =
        core_.services().find<document_service>(document_service::name);
    const result<host_list_service*> hosts =
        core_.services().find<host_list_service>(host_list_service::name);
    const result<admin_service*> admin =
        core_.services().find<admin_service>(admin_service::name);
    if (!peers || !documents || !hosts || !admin)
        return make_error_code(kernel_error::not_found);

    peers_ = peers.value();
    documents_ = documents.value();
    peers_->on(message_type::membership,
               [this](const std::string&, const std::string& payload)
               {
                   const result<membership_message> message =
                       parse_membership_message(payload);
                   if (message)
                       carry_out(view_.received(message.value(), core_.now()));
               });
    peers_->on(message_type::reachability_query,
               [this](const std::string& process, const std::string&)
               { send_reach_reply(process); });
    hosts.value()->on_change(
        [this](const host_list_snapshot& snapshot)
        { carry_out(view_.apply_host_list(snapshot, core_.now())); });
    admin.value()->add_status("membership", [this] { return status(); });
    core_.repeat(membership_tick_interval,
                 [this]
                 {
                     carry_out(view_.tick(core_.now()));
                     documents_->set_reachable_hosts(
                         view_.live_hosts(core_.settings().region).size());
                 });
    return outcome::success();
}

void membership_service::drain(std::function<void()> finished)
{
    view_.leave();
    start_task(core_.context(),
               [this, finished](boost::asio::yield_context yield)
               {
                   sleep_for(core_.context(), leave_propagation_time, yield);
                   finished();
               });
}

void membership_service::stop()
{
}

void membership_service::send_reach_reply(const std::string& process)
{
    const std::size_t hosts = view_.live_hosts(core_.settings().region).size();
    peers_->send(
        process, message_type::reachability_reply,
        to_cbor(reachability_reply{static_cast<std::uint32_t>(hosts)}));
}

void membership_service::carry_out(const membership_actions& actions)
{
    for (const membership_send& send : actions.sends)
        peers_->send_to_host(send.host, message_type::membership,
                             to_cbor(send.message));
    for (const member_change& change : actions.changes)
        core_.journal().record(event_of(change.state), {{"host", change.host}});
}

std::string membership_service::status() const
{
    return nlohmann::json{{"live", view_.live_hosts()},
                          {"listed", view_.size()}}
        .dump();
}

} // namespace hibiscusferry
