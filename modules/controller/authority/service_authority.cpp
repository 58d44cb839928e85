#include "controller/authority/service_authority.hpp"

namespace hibiscusferry
{

namespace
{

constexpr std::chrono::milliseconds role_decision_interval{1000};
constexpr std::chrono::milliseconds load_read_interval{1000};

/** Of the process's id "HOST/ROLE/INCARNATION", the last part. */
std::string incarnation_of(const std::string& process)
{
    return process.substr(process.rfind('/') + 1);
}

process_identity identity_of(const process_core& core)
{
    return {core.settings().host, incarnation_of(core.id())};
}

/** The host that is first in line for a lease; see lease_holder. */
std::string first_of_line(const std::string& lease,
                          const std::vector<std::string>& hosts)
{
    const std::uint64_t lease_hash = stable_hash(lease);
    std::string first;
    std::uint64_t greatest = 0;
    for (const std::string& host : hosts)
    {
        const std::uint64_t weight =
            rendezvous_weight(lease_hash, stable_hash(host));
        if (weight >= greatest)
        {
            greatest = weight;
            first = host;
        }
    }
    return first;
}

/** A permission outlasts the time in which a crashed holder is replaced, so
    that its crash stops no traffic. */
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
    result<role_policy> made = role_policy::create(settings);
    if (made)
        return std::move(made.value());
    // The document's rules are checked, so only their defaults are left.
    settings.rules = role_rules();
    return std::move(role_policy::create(settings).value());
}

} // namespace

service_authority::holding::holding(const fence_raiser& the_fences,
                                    const order_book& the_book,
                                    const drain_coordinator& the_drains,
                                    role_policy the_policy)
    : fences(the_fences)
    , book(the_book)
    , drains(the_drains)
    , policy(std::move(the_policy))
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
    if (!holding_)
        return;
    holding_->book.set_document(document.targets_check_orders,
                                document.roles.max_unavailable);
    holding_->policy.on_rules(document.roles);
}

void service_authority::set_live_hosts(const std::vector<std::string>& hosts)
{
    lease_.set_live_hosts(hosts);
    first_in_line_ = first_of_line(lease_.key(), hosts);
}

void service_authority::set_targets(const std::vector<listed_host>& targets)
{
    const std::map<std::string, listed_host> former = targets_;
    targets_.clear();
    for (const listed_host& target : targets)
        targets_[target.id] = target;
    if (!holding_)
        return;
    for (const auto& [id, target] : former)
    {
        if (targets_.count(id) == 0)
            holding_->policy.on_engine_lost(id, core_.now());
    }
    holding_->fences.set_targets(target_ids(), core_.now());
    carry_out(holding_->book.set_targets(target_ids(), core_.now()));
}

void service_authority::tick()
{
    carry_out(lease_.tick(core_.now()));
    if (holding_)
        tick_holding();
}

void service_authority::release()
{
    carry_out(lease_.release(core_.now()));
}

bool service_authority::is_settled() const
{
    return lease_.is_settled() && !holding_;
}

std::optional<permission_grant>
service_authority::permission_requested(const std::string& router)
{
    const bool may_grant =
        holding_ && !holding_->is_retired && holding_->book.is_ready();
    if (!may_grant)
        return std::nullopt;
    return holding_->drains.permission_requested(router, core_.now());
}

void service_authority::confirmed(const drain_confirmation& confirmation)
{
    if (holding_)
        carry_out(holding_->drains.confirmed(confirmation, core_.now()));
}

void service_authority::router_reported(const router_load_report& report)
{
    if (holding_)
        holding_->policy.on_router_report(report, core_.now());
}

std::string service_authority::holder_host() const
{
    const std::string& seen = lease_.observed_holder().host;
    return seen.empty() ? first_in_line_ : seen;
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
    return holding_ ? holding_->book.unsettled(core_.now())
                    : std::vector<unsettled_order>();
}

void service_authority::carry_out(const lease_actions& wanted)
{
    const std::shared_ptr<service_authority> self = shared_from_this();
    if (wanted.commit)
    {
        table_.commit(*wanted.commit, platform_adapters::call_limit,
                      [self, id = wanted.commit->write_id](
                          const result<commit_receipt>& answer)
                      {
                          self->carry_out(self->lease_.commit_finished(
                              id, answer, self->core_.now()));
                      });
    }
    if (wanted.read)
    {
        table_.read(lease_.key(), platform_adapters::call_limit,
                    [self](const result<table_row>& row) {
                        self->carry_out(
                            self->lease_.row_read(row, self->core_.now()));
                    });
    }
    if (wanted.change == lease_change::acquired)
        acquired();
    else if (wanted.change != lease_change::none)
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
    holding_.emplace(
        fence_raiser(fencing_number, fence_settings{}, now),
        order_book(settings_for_orders(), fencing_number,
                   lease_.fence_version(), core_.identifiers(), now),
        drain_coordinator(fencing_number, lease_.acquired_after_release(),
                          settings_for_drains(), now),
        make_policy(document_.roles));
    if (document_.targets_check_orders == order_check::fencing)
        holding_->fences.set_targets(target_ids(), now);
    carry_out(holding_->book.set_targets(target_ids(), now));
}

void service_authority::lost()
{
    core_.journal().record(
        event_number::lease_lost,
        {{"service", document_.service}, {"host", core_.settings().host}});
    if (!holding_)
        return;
    holding_->is_retired = true;
    carry_out(holding_->book.retire(core_.now()));
}

void service_authority::tick_holding()
{
    const time_point now = core_.now();
    carry_out(holding_->book.tick(now));
    if (holding_->is_retired)
    {
        if (holding_->book.is_retired())
            holding_.reset();
        return;
    }
    raise_fences();
    carry_out(holding_->drains.tick(now));
    if (now >= holding_->next_load_read)
    {
        holding_->next_load_read = now + load_read_interval;
        read_loads();
    }
    if (now >= holding_->next_decision)
    {
        holding_->next_decision = now + role_decision_interval;
        decide_roles();
    }
}

void service_authority::raise_fences()
{
    const std::shared_ptr<service_authority> self = shared_from_this();
    for (const struct raise_fence& wanted : holding_->fences.tick(core_.now()))
    {
        const std::optional<http_endpoint> endpoint =
            endpoint_of(wanted.target);
        if (!endpoint)
            continue;
        calls_.raise_fence(
            *endpoint, wanted.fencing_number,
            [self, target = wanted.target](const result<std::uint64_t>& answer)
            {
                if (!self->holding_)
                    return;
                holding& held = *self->holding_;
                if (!answer)
                {
                    held.fences.failed(target, self->core_.now());
                    return;
                }
                held.fences.confirmed(target, answer.value());
                if (held.fences.is_raised(target))
                    held.book.fence_raised(target);
                if (held.fences.is_superseded())
                    self->carry_out(
                        self->lease_.fencing_number_seen(answer.value()));
            });
    }
}

void service_authority::carry_out(const order_actions& wanted)
{
    for (const table_transaction& transaction : wanted.commits)
        commit(transaction);
    if (wanted.scan)
        scan(*wanted.scan);
    for (const send_order& order : wanted.sends)
        send(order);
    for (const std::string& target : wanted.drains)
        carry_out(holding_->drains.begin(target, core_.now()));
    for (const std::string& target : wanted.reopens)
        carry_out(holding_->drains.reopen(target, core_.now()));
    for (const order_record& record : wanted.settled)
        settled(record);
}

void service_authority::commit(const table_transaction& transaction)
{
    const std::shared_ptr<service_authority> self = shared_from_this();
    table_.commit(
        transaction, platform_adapters::call_limit,
        [self, id = transaction.write_id](const result<commit_receipt>& answer)
        {
            if (self->holding_)
                self->carry_out(self->holding_->book.commit_finished(
                    id, answer, self->core_.now()));
        });
}

void service_authority::scan(const order_scan& wanted)
{
    const std::shared_ptr<service_authority> self = shared_from_this();
    table_.scan(wanted.prefix, wanted.after, wanted.limit,
                platform_adapters::call_limit,
                [self](const result<std::vector<table_row>>& rows)
                {
                    if (self->holding_)
                        self->carry_out(self->holding_->book.scan_finished(
                            rows, self->core_.now()));
                });
}

void service_authority::send(const send_order& order)
{
    const std::optional<http_endpoint> endpoint = endpoint_of(order.target);
    // The last look at the lease before the order leaves.
    if (!endpoint || !lease_.may_act(core_.now()))
    {
        order_answered(order, order_response::not_sent);
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
                [self = shared_from_this(), order](order_response answer)
                { self->order_answered(order, answer); });
}

void service_authority::order_answered(const send_order& order,
                                       order_response answer)
{
    if (holding_)
        carry_out(holding_->book.response_received(order.target, order.order_id,
                                                   answer, core_.now()));
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
        holding_->policy.on_change_finished(record.target, role.value(),
                                            core_.now());
    else
        holding_->policy.on_change_failed(record.target, core_.now());
}

void service_authority::carry_out(const drain_actions& wanted)
{
    for (const drain_announcement& announcement : wanted.announcements)
        routers_.announce(document_.service, announcement);
    for (const std::string& target : wanted.drained)
    {
        core_.journal().record(
            event_number::target_drained,
            {{"service", document_.service}, {"target", target}});
        carry_out(holding_->book.drained(target, core_.now()));
    }
}

void service_authority::read_loads()
{
    const time_point asked_at = core_.now();
    for (const auto& [id, target] : targets_)
    {
        calls_.read_load({target.address, target.port},
                         [self = shared_from_this(), id = id,
                          asked_at](const result<target_load_reading>& reading)
                         {
                             if (self->holding_)
                                 self->load_was_read(id, asked_at, reading);
                         });
    }
}

void service_authority::load_was_read(
    const std::string& target, time_point asked_at,
    const result<target_load_reading>& reading)
{
    const time_point now = core_.now();
    if (!reading)
    {
        holding_->book.set_available(target, false);
        return;
    }
    engine_report report = reading.value().report;
    report.engine = target;
    report.measured_at = now - reading.value().age;
    const auto listed = targets_.find(target);
    if (listed != targets_.end())
        report.availability_zone = listed->second.availability_zone;
    holding_->book.set_available(target, report.state == engine_state::serving);
    holding_->policy.on_engine_report(report, now);
    carry_out(holding_->drains.load_reported(
        target, reading.value().is_idle, asked_at, reading.value().age, now));
}

void service_authority::decide_roles()
{
    const bool checks_fences =
        document_.targets_check_orders == order_check::fencing;
    const bool can_issue_orders =
        holding_->book.is_ready() && lease_.may_act(core_.now()) &&
        (!checks_fences || holding_->fences.can_issue_orders(core_.now()));
    if (!can_issue_orders)
        return;
    for (const role_change& change : holding_->policy.decide(core_.now()))
        request_change(change);
}

void service_authority::request_change(const role_change& change)
{
    const result<order_actions> accepted = holding_->book.request(
        change.engine,
        {order_action::set_role, std::string(to_text(change.to))}, core_.now());
    if (!accepted)
    {
        holding_->policy.on_change_failed(change.engine, core_.now());
        return;
    }
    core_.journal().record(event_number::role_change_wanted,
                           {{"service", document_.service},
                            {"target", change.engine},
                            {"from", std::string(to_text(change.from))},
                            {"to", std::string(to_text(change.to))},
                            {"reason", std::string(to_text(change.reason))}});
    holding_->policy.on_change_started(
        change.engine, change.to,
        core_.now() + settings_for_orders().time_limit, core_.now());
    carry_out(accepted.value());
}

std::optional<http_endpoint>
service_authority::endpoint_of(const std::string& target) const
{
    const auto found = targets_.find(target);
    if (found == targets_.end())
        return std::nullopt;
    return http_endpoint{found->second.address, found->second.port};
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
