#include "controller/authority/service_authority.hpp"

namespace hibiscusferry
{

namespace
{

constexpr std::chrono::milliseconds role_decision_interval{1000};
constexpr std::chrono::milliseconds load_poll_interval{1000};

/** Returns the last part of a process id of the form
    "HOST/ROLE/INCARNATION". */
std::string incarnation_of(const std::string& process)
{
    return process.substr(process.rfind('/') + 1);
}

process_identity identity_of(const process_core& core)
{
    return {core.settings().host, incarnation_of(core.id())};
}

/** Returns the host that ranks first among the candidates for a lease; see
    lease_holder. */
std::string first_candidate(const std::string& lease,
                            const std::vector<std::string>& hosts)
{
    const std::uint64_t lease_hash = stable_hash(lease);
    std::string candidate;
    std::uint64_t max_weight = 0;
    for (const std::string& host : hosts)
    {
        const std::uint64_t weight =
            rendezvous_weight(lease_hash, stable_hash(host));
        if (weight >= max_weight)
        {
            max_weight = weight;
            candidate = host;
        }
    }
    return candidate;
}

/** Returns the drain settings. A permission remains valid for longer than it
    takes to replace a crashed lease holder, so that the crash does not
    interrupt traffic. */
drain_settings settings_for_drains()
{
    drain_settings settings;
    settings.permission_term = std::chrono::milliseconds(20000);
    return settings;
}

role_policy make_policy(const role_rules& rules)
{
    role_policy_settings settings;
    settings.rules = rules;
    result<role_policy> created = role_policy::create(settings);
    if (created)
        return std::move(created.value());
    // The rules of a document have been validated, so only the default rules
    // remain as a fallback.
    settings.rules = role_rules();
    return std::move(role_policy::create(settings).value());
}

} // namespace

service_authority::holder_state::holder_state(
    const fence_raiser& initial_fences, const order_book& initial_book,
    const drain_coordinator& initial_drains, role_policy initial_policy)
    : fences(initial_fences)
    , book(initial_book)
    , drains(initial_drains)
    , policy(std::move(initial_policy))
{
}

service_authority::service_authority(process_core& core, table_store& table,
                                     router_link& routers,
                                     const service_document& document)
    : core_(core)
    , table_(table)
    , routers_(routers)
    , calls_(core.context(), core.connections())
    , document_(document)
    , lease_(document.region, document.service, identity_of(core),
             lease_settings{}, core.identifiers())
{
}

void service_authority::set_document(const service_document& document)
{
    document_ = document;
    if (!holder_state_)
        return;
    holder_state_->book.set_document(document.targets_check_orders,
                                     document.roles.max_unavailable);
    holder_state_->policy.on_rules(document.roles);
}

void service_authority::set_live_hosts(const std::vector<std::string>& hosts)
{
    lease_.set_live_hosts(hosts);
    first_candidate_ = first_candidate(lease_.key(), hosts);
}

void service_authority::set_targets(const std::vector<listed_host>& targets)
{
    const std::map<std::string, listed_host> previous = targets_;
    targets_.clear();
    for (const listed_host& target : targets)
        targets_[target.id] = target;
    if (!holder_state_)
        return;
    for (const auto& [id, target] : previous)
    {
        if (targets_.count(id) == 0)
            holder_state_->policy.on_engine_lost(id, core_.now());
    }
    holder_state_->fences.set_targets(target_ids(), core_.now());
    carry_out(holder_state_->book.set_targets(target_ids(), core_.now()));
}

void service_authority::tick()
{
    carry_out(lease_.tick(core_.now()));
    if (holder_state_)
        tick_as_holder();
}

void service_authority::release()
{
    carry_out(lease_.release(core_.now()));
}

bool service_authority::is_settled() const
{
    return lease_.is_settled() && !holder_state_;
}

std::optional<permission_grant>
service_authority::permission_requested(const std::string& router)
{
    const bool may_grant = holder_state_ && !holder_state_->is_retired &&
                           holder_state_->book.is_ready();
    if (!may_grant)
        return std::nullopt;
    return holder_state_->drains.permission_requested(router, core_.now());
}

void service_authority::confirmed(const drain_confirmation& confirmation)
{
    if (holder_state_)
        carry_out(holder_state_->drains.confirmed(confirmation, core_.now()));
}

void service_authority::router_reported(const router_load_report& report)
{
    if (holder_state_)
        holder_state_->policy.on_router_report(report, core_.now());
}

std::string service_authority::holder_host() const
{
    const std::string& observed_host = lease_.observed_holder().host;
    return observed_host.empty() ? first_candidate_ : observed_host;
}

bool service_authority::is_holder() const
{
    return lease_.is_holder();
}

std::uint64_t service_authority::fencing_number() const
{
    return lease_.fencing_number();
}

std::vector<unsettled_order> service_authority::unsettled() const
{
    return holder_state_ ? holder_state_->book.unsettled(core_.now())
                         : std::vector<unsettled_order>();
}

void service_authority::carry_out(const lease_actions& actions)
{
    const std::shared_ptr<service_authority> self = shared_from_this();
    if (actions.commit)
    {
        table_.commit(*actions.commit, platform_adapters::call_timeout,
                      [self, id = actions.commit->write_id](
                          const result<commit_receipt>& receipt)
                      {
                          self->carry_out(self->lease_.commit_finished(
                              id, receipt, self->core_.now()));
                      });
    }
    if (actions.read)
    {
        table_.read(lease_.key(), platform_adapters::call_timeout,
                    [self](const result<table_row>& row) {
                        self->carry_out(
                            self->lease_.row_read(row, self->core_.now()));
                    });
    }
    if (actions.change == lease_change::acquired)
        acquired();
    else if (actions.change != lease_change::none)
        lost();
}

void service_authority::acquired()
{
    const time_point now = core_.now();
    const std::uint64_t fencing_number = lease_.fencing_number();
    core_.journal().record(
        event_number::lease_acquired,
        {{"service", document_.service},
         {"host", core_.settings().host},
         {"fencing_number", std::to_string(fencing_number)}});
    holder_state_.emplace(
        fence_raiser(fencing_number, fence_settings{}, now),
        order_book(settings_for_orders(), fencing_number,
                   lease_.fence_version(), core_.identifiers(), now),
        drain_coordinator(fencing_number, lease_.acquired_after_release(),
                          settings_for_drains(), now),
        make_policy(document_.roles));
    if (document_.targets_check_orders == order_check::fencing)
        holder_state_->fences.set_targets(target_ids(), now);
    carry_out(holder_state_->book.set_targets(target_ids(), now));
}

void service_authority::lost()
{
    core_.journal().record(
        event_number::lease_lost,
        {{"service", document_.service}, {"host", core_.settings().host}});
    if (!holder_state_)
        return;
    holder_state_->is_retired = true;
    carry_out(holder_state_->book.retire(core_.now()));
}

void service_authority::tick_as_holder()
{
    const time_point now = core_.now();
    carry_out(holder_state_->book.tick(now));
    if (holder_state_->is_retired)
    {
        if (holder_state_->book.is_retired())
            holder_state_.reset();
        return;
    }
    raise_fences();
    carry_out(holder_state_->drains.tick(now));
    if (now >= holder_state_->next_load_poll)
    {
        holder_state_->next_load_poll = now + load_poll_interval;
        poll_loads();
    }
    if (now >= holder_state_->next_decision)
    {
        holder_state_->next_decision = now + role_decision_interval;
        decide_roles();
    }
}

void service_authority::raise_fences()
{
    const std::shared_ptr<service_authority> self = shared_from_this();
    for (const struct raise_fence& action :
         holder_state_->fences.tick(core_.now()))
    {
        const std::optional<http_endpoint> endpoint =
            endpoint_of(action.target);
        if (!endpoint)
            continue;
        calls_.raise_fence(
            *endpoint, action.fencing_number,
            [self,
             target = action.target](const result<std::uint64_t>& response)
            {
                if (!self->holder_state_)
                    return;
                holder_state& state = *self->holder_state_;
                if (!response)
                {
                    state.fences.failed(target, self->core_.now());
                    return;
                }
                state.fences.confirmed(target, response.value());
                if (state.fences.is_raised(target))
                    state.book.fence_raised(target);
                if (state.fences.is_superseded())
                    self->carry_out(
                        self->lease_.fencing_number_seen(response.value()));
            });
    }
}

void service_authority::carry_out(const order_actions& actions)
{
    for (const table_transaction& transaction : actions.commits)
        commit(transaction);
    if (actions.scan)
        scan(*actions.scan);
    for (const send_order& order : actions.sends)
        send(order);
    for (const std::string& target : actions.drains)
        carry_out(holder_state_->drains.begin(target, core_.now()));
    for (const std::string& target : actions.reopens)
        carry_out(holder_state_->drains.reopen(target, core_.now()));
    for (const order_record& record : actions.settled)
        settled(record);
}

void service_authority::commit(const table_transaction& transaction)
{
    const std::shared_ptr<service_authority> self = shared_from_this();
    table_.commit(
        transaction, platform_adapters::call_timeout,
        [self, id = transaction.write_id](const result<commit_receipt>& receipt)
        {
            if (self->holder_state_)
                self->carry_out(self->holder_state_->book.commit_finished(
                    id, receipt, self->core_.now()));
        });
}

void service_authority::scan(const order_scan& request)
{
    const std::shared_ptr<service_authority> self = shared_from_this();
    table_.scan(request.prefix, request.after, request.limit,
                platform_adapters::call_timeout,
                [self](const result<std::vector<table_row>>& rows)
                {
                    if (self->holder_state_)
                        self->carry_out(self->holder_state_->book.scan_finished(
                            rows, self->core_.now()));
                });
}

void service_authority::send(const send_order& order)
{
    const std::optional<http_endpoint> endpoint = endpoint_of(order.target);
    // The final check of the lease before the order is sent.
    if (!endpoint || !lease_.may_act(core_.now()))
    {
        order_response_received(order, order_response::not_sent);
        return;
    }
    core_.journal().record(
        event_number::order_sent,
        {{"service", document_.service},
         {"target", order.target},
         {"order", order.order_id},
         {"action", to_text(order.intent.action)},
         {"argument", order.intent.argument},
         {"fencing_number", std::to_string(order.fencing_number)}});
    calls_.send(*endpoint, order,
                [self = shared_from_this(), order](order_response response)
                { self->order_response_received(order, response); });
}

void service_authority::order_response_received(const send_order& order,
                                                order_response response)
{
    if (holder_state_)
        carry_out(holder_state_->book.response_received(
            order.target, order.order_id, response, core_.now()));
}

void service_authority::settled(const order_record& record)
{
    core_.journal().record(event_number::order_settled,
                           {{"service", document_.service},
                            {"target", record.target},
                            {"order", record.order_id},
                            {"state", to_text(record.state)}});
    if (record.intent.action != order_action::set_role)
        return;
    const result<engine_role> role = parse_engine_role(record.intent.argument);
    if (record.state == order_state::done && role)
        holder_state_->policy.on_change_finished(record.target, role.value(),
                                                 core_.now());
    else
        holder_state_->policy.on_change_failed(record.target, core_.now());
}

void service_authority::carry_out(const drain_actions& actions)
{
    for (const drain_announcement& announcement : actions.announcements)
        routers_.announce(document_.service, announcement);
    for (const std::string& target : actions.drained)
    {
        core_.journal().record(
            event_number::target_drained,
            {{"service", document_.service}, {"target", target}});
        carry_out(holder_state_->book.drained(target, core_.now()));
    }
}

void service_authority::poll_loads()
{
    const time_point polled_at = core_.now();
    for (const auto& [id, target] : targets_)
    {
        calls_.poll_load({target.address, target.port},
                         [self = shared_from_this(), id = id,
                          polled_at](const result<target_load_report>& load)
                         {
                             if (self->holder_state_)
                                 self->load_received(id, polled_at, load);
                         });
    }
}

void service_authority::load_received(const std::string& target,
                                      time_point polled_at,
                                      const result<target_load_report>& load)
{
    const time_point now = core_.now();
    if (!load)
    {
        holder_state_->book.set_available(target, false);
        return;
    }
    engine_report report = load.value().report;
    report.engine = target;
    report.measured_at = now - load.value().age;
    const auto listed = targets_.find(target);
    if (listed != targets_.end())
        report.availability_zone = listed->second.availability_zone;
    holder_state_->book.set_available(target,
                                      report.state == engine_state::serving);
    holder_state_->policy.on_engine_report(report, now);
    carry_out(holder_state_->drains.load_reported(
        target, load.value().is_idle, polled_at, load.value().age, now));
}

void service_authority::decide_roles()
{
    const bool checks_fences =
        document_.targets_check_orders == order_check::fencing;
    const bool can_issue_orders =
        holder_state_->book.is_ready() && lease_.may_act(core_.now()) &&
        (!checks_fences || holder_state_->fences.can_issue_orders(core_.now()));
    if (!can_issue_orders)
        return;
    for (const role_change& change : holder_state_->policy.decide(core_.now()))
        request_change(change);
}

void service_authority::request_change(const role_change& change)
{
    const result<order_actions> accepted = holder_state_->book.request(
        change.engine,
        {order_action::set_role, std::string(to_text(change.to))}, core_.now());
    if (!accepted)
    {
        holder_state_->policy.on_change_failed(change.engine, core_.now());
        return;
    }
    core_.journal().record(event_number::role_change_wanted,
                           {{"service", document_.service},
                            {"target", change.engine},
                            {"from", std::string(to_text(change.from))},
                            {"to", std::string(to_text(change.to))},
                            {"reason", std::string(to_text(change.reason))}});
    holder_state_->policy.on_change_started(
        change.engine, change.to,
        core_.now() + settings_for_orders().time_limit, core_.now());
    carry_out(accepted.value());
}

std::optional<http_endpoint>
service_authority::endpoint_of(const std::string& target) const
{
    const auto entry = targets_.find(target);
    if (entry == targets_.end())
        return std::nullopt;
    return http_endpoint{entry->second.address, entry->second.port};
}

std::vector<std::string> service_authority::target_ids() const
{
    std::vector<std::string> ids;
    for (const auto& [id, target] : targets_)
        ids.push_back(id);
    return ids;
}

order_settings service_authority::settings_for_orders() const
{
    order_settings settings;
    settings.service = document_.service;
    settings.region = document_.region;
    settings.self = identity_of(core_);
    settings.check = document_.targets_check_orders;
    settings.max_unavailable = document_.roles.max_unavailable;
    return settings;
}

} // namespace hibiscusferry
