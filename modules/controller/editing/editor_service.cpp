#include "controller/editing/editor_service.hpp"

namespace hibiscusferry
{

namespace
{

constexpr std::chrono::milliseconds editor_tick_interval{20};

} // namespace

editor_service::editor_service(process_core& core)
    : core_(core)
    , editor_(core.id(), editor_limits{})
{
}

change_response editor_service::change(const document_change& requested,
                                       boost::asio::yield_context yield)
{
    const std::string request = core_.identifiers().next();
    boost::asio::steady_timer timer(core_.context());
    changes_[request].timer = &timer;
    carry_out(editor_.change_requested(request, requested, core_.now()));
    while (!changes_[request].answer)
    {
        timer.expires_at(boost::asio::steady_timer::time_point::max());
        boost::system::error_code ignored;
        timer.async_wait(yield[ignored]);
    }
    const change_response answer = *changes_[request].answer;
    changes_.erase(request);
    return answer;
}

result<void> editor_service::start()
{
    const result<platform_adapters*> platform =
        core_.services().find<platform_adapters>(platform_adapters::name);
    const result<host_list_service*> hosts =
        core_.services().find<host_list_service>(host_list_service::name);
    const result<document_exchange*> exchange =
        core_.services().find<document_exchange>(document_exchange::name);
    if (!platform || !hosts || !exchange)
        return make_error_code(kernel_error::not_found);
    exchange_ = exchange.value();
    exchange_->on_revision(
        [this](const std::string& host, document_version revision) {
            carry_out(
                editor_.host_revision_reported(host, revision, core_.now()));
        });

    table_ = &platform.value()->table();
    host_list_service* const list = hosts.value();
    list->on_change(
        [this, list](const host_list_snapshot&)
        {
            std::vector<fleet_host> fleet;
            for (const listed_host& host : list->entry_hosts())
                fleet.push_back({host.id, host.region});
            editor_.fleet_changed(std::move(fleet));
        });
    core_.repeat(editor_tick_interval,
                 [this]
                 {
                     if (editor_.next_wake() <= core_.now())
                         carry_out(editor_.tick(core_.now()));
                 });
    return outcome::success();
}

void editor_service::drain(std::function<void()> finished)
{
    start_task(core_.context(),
               [this, finished](boost::asio::yield_context yield)
               {
                   while (editor_.changes_in_flight() > 0)
                       sleep_for(core_.context(), editor_tick_interval, yield);
                   finished();
               });
}

void editor_service::stop()
{
}

void editor_service::carry_out(const document_editor::actions& actions)
{
    for (const editor_action& action : actions)
        std::visit([this](const auto& step) { carry_out(step); }, action);
}

void editor_service::carry_out(const change_response& action)
{
    const auto change = changes_.find(action.request_id);
    if (change == changes_.end())
        return;
    change->second.answer = action;
    change->second.timer->cancel();
}

void editor_service::carry_out(const editor_step& action)
{
    const std::string request = action.request_id;
    if (const commit_step* const commit =
            std::get_if<commit_step>(&action.step))
    {
        table_->commit(commit->transaction, platform_adapters::call_timeout,
                       [this, request](const result<commit_receipt>& receipt) {
                           carry_out(editor_.commit_completed(request, receipt,
                                                              core_.now()));
                       });
        return;
    }
    table_->read(
        std::get<read_step>(action.step).key, platform_adapters::call_timeout,
        [this, request](const result<table_row>& row)
        { carry_out(editor_.read_completed(request, row, core_.now())); });
}

void editor_service::carry_out(const query_host_revision& action)
{
    exchange_->request_revision(action.host);
}

void editor_service::carry_out(const document_event& action)
{
    core_.journal().record(action.number,
                           {{"service", action.service},
                            {"version", std::to_string(action.version)},
                            {"detail", action.detail}});
}

} // namespace hibiscusferry
