#include "gateway/duties/usage_service.hpp"

#include <algorithm>

namespace hibiscusferry
{

namespace
{

constexpr std::chrono::milliseconds usage_tick_period{100};
constexpr std::chrono::milliseconds usage_store_timeout{1500};
constexpr std::size_t max_usage_rows = 200;

/** Interval between the reports of a host. It grows with the number of hosts,
    so that the load of the holder stays constant. */
constexpr std::chrono::milliseconds min_usage_report_period{1000};
constexpr std::chrono::milliseconds usage_report_period_per_host{10};
/** Time after the end of a window at which its last requests have been counted.
    A first event is counted when it arrives. */
constexpr std::chrono::milliseconds final_counts_delay{300};
/** Interval between repeats of the final counts of a window that is not
    recorded yet. */
constexpr std::chrono::milliseconds final_repeat_period{2000};
constexpr std::size_t max_pending_reports = 64;
/** Delay of the timer that shows a pause of the process, and the time after it
    within which queued messages have been read. */
constexpr std::chrono::milliseconds max_lag{500};
constexpr std::chrono::milliseconds lag_recovery_time{500};
/** Windows are reported for this many times as long as a report may take. */
constexpr int report_lifetime_factor = 3;

fleet_time time_of_day(const process_core& core)
{
    return std::chrono::duration_cast<fleet_time>(
        core.time().wall_time().time_since_epoch());
}

} // namespace

usage_service::usage_service(const dependencies& services,
                             const duty_settings& settings, duty_caller& caller)
    : services_(services)
    , settings_(settings)
    , caller_(caller)
    , incarnation_(stable_hash(services.core.id()))
    , clock_(time_of_day(services.core), services.core.now())
    , counter_(settings.usage_window)
    , reporter_({settings.usage_window, settings.usage_report_delay},
                services.protocol, *this)
{
}

result<void> usage_service::start()
{
    services_.datagrams.add_receiver(
        [this](std::string_view bytes, const boost::asio::ip::udp::endpoint&)
        { return receive(bytes); });
    services_.core.repeat(usage_tick_period,
                          [this]
                          {
                              synchronize_collector();
                              send_counts(false);
                          });
    start_task(services_.core.context(),
               [this](boost::asio::yield_context yield)
               { report_loop(yield); });
    return outcome::success();
}

void usage_service::drain(std::function<void()> finished)
{
    send_counts(true);
    finished();
}

void usage_service::stop()
{
    // What was counted since the last report would be lost.
    send_counts(true);
    is_stopping_ = true;
}

void usage_service::record_start(const std::string& workspace, time_point at)
{
    if (workspace.empty())
        return;
    // The window in which a long request began may be final; it is counted in
    // the present one then, so that no request is lost.
    const fleet_time began_at = clock_.time(at);
    const fleet_time now = clock_.time(services_.core.now());
    const fleet_time window_end = counter_.end_of(counter_.window_of(began_at));
    counter_.count(workspace,
                   now < window_end + final_counts_delay ? began_at : now);
}

// ========================================================================
// Counts of this host

std::chrono::milliseconds usage_service::report_period() const
{
    return std::max<std::chrono::milliseconds>(
        min_usage_report_period,
        usage_report_period_per_host *
            static_cast<std::int64_t>(services_.fleet.live_hosts()));
}

usage_host_report usage_service::make_report(std::uint64_t window,
                                             const workspace_counts& counts,
                                             fleet_time time) const
{
    usage_host_report report;
    report.host = services_.fleet.settings().host;
    report.incarnation = incarnation_;
    report.time_of_day = time_of_day(services_.core);
    report.window = window;
    report.is_final = time >= counter_.end_of(window) + final_counts_delay;
    report.counts = counts;
    return report;
}

void usage_service::send_counts(bool is_stopping)
{
    const time_point now = services_.core.now();
    const fleet_time time = clock_.time(now);
    const std::uint64_t current_window = counter_.window_of(time);
    const std::uint64_t oldest_window = counter_.window_of(
        time - report_lifetime_factor * settings_.usage_report_delay);
    counter_.forget_before(oldest_window);
    final_sent_at_.erase(final_sent_at_.begin(),
                         final_sent_at_.lower_bound(oldest_window));

    const bool is_period_over = now - sent_at_ >= report_period();
    if (is_period_over)
        sent_at_ = now;
    // An empty window is reported as well: the holder waits for all hosts.
    std::map<std::uint64_t, workspace_counts> windows = counter_.windows();
    windows.try_emplace(current_window);
    if (current_window > 0)
        windows.try_emplace(current_window - 1);
    for (const auto& [window, counts] : windows)
    {
        usage_host_report report = make_report(window, counts, time);
        const auto final_sent = final_sent_at_.find(window);
        const bool is_due =
            report.is_final
                ? final_sent == final_sent_at_.end() ||
                      now - final_sent->second >= final_repeat_period
                : is_period_over;
        if (!is_due && !is_stopping)
            continue;
        if (report.is_final)
            final_sent_at_[window] = now;
        report.number = ++last_number_;
        sent_reports_[report.number] = now;
        for (usage_host_report& part : split_report(report))
            pass_on(std::move(part));
    }
    while (sent_reports_.size() > max_pending_reports)
        sent_reports_.erase(sent_reports_.begin());
}

// ========================================================================
// Messages

bool usage_service::is_lagging() const
{
    return services_.core.now() - ticked_at_ > max_lag;
}

bool usage_service::is_collector() const
{
    return services_.authority.may_act(services_.core.now());
}

void usage_service::pass_on(usage_host_report report)
{
    if (is_collector())
    {
        receive_report(std::move(report));
        return;
    }
    // Relays compete for the authority, so they know who holds it.
    const std::vector<std::string> relays = services_.exchange.relays();
    const std::string& own_relay = relays.front();
    const std::string& own_host = services_.fleet.settings().host;
    const bool is_relay = own_relay == own_host;
    std::vector<std::string> recipients{own_relay};
    if (is_relay || report.is_relayed)
    {
        const std::string holder = services_.authority.holder();
        recipients = holder.empty() ? relays : std::vector<std::string>{holder};
        report.is_relayed = true;
    }
    const std::string bytes = encode_usage_report(report);
    for (const std::string& recipient : recipients)
    {
        const host_record* const host =
            services_.follower.directory().find(recipient);
        if (host != nullptr && recipient != own_host)
            services_.datagrams.send(
                bytes, datagram_endpoint(host->address, host->port));
    }
}

bool usage_service::receive(std::string_view bytes)
{
    if (!is_usage_message(bytes))
        return false;
    result<usage_host_report> report = decode_usage_report(bytes);
    if (report)
    {
        receive_report(std::move(report.value()));
        return true;
    }
    const result<usage_acknowledgement> acknowledgement =
        decode_usage_acknowledgement(bytes);
    if (acknowledgement)
        receive_acknowledgement(acknowledgement.value());
    else
        services_.core.metrics()
            .counter_of("hibiscusferry_usage_messages_unreadable_total")
            .add();
    return true;
}

void usage_service::receive_report(usage_host_report report)
{
    if (!is_collector())
    {
        // A report that was passed on to a former holder is sent again.
        if (!report.is_relayed)
        {
            report.is_relayed = true;
            pass_on(std::move(report));
        }
        return;
    }
    // After a pause of the process, reports have waited to be read and say
    // nothing about the time.
    const time_point now = services_.core.now();
    collector_.apply(report, now, !is_lagging() && now >= lagged_until_);
    acknowledge(report);
}

void usage_service::acknowledge(const usage_host_report& report)
{
    const usage_acknowledgement message{report.incarnation, report.number,
                                        clock_.time(services_.core.now()),
                                        reporter_.first_open_window()};
    if (report.host == services_.fleet.settings().host)
    {
        receive_acknowledgement(message);
        return;
    }
    const host_record* const host =
        services_.follower.directory().find(report.host);
    if (host != nullptr)
        services_.datagrams.send(encode_usage_acknowledgement(message),
                                 datagram_endpoint(host->address, host->port));
}

void usage_service::receive_acknowledgement(
    const usage_acknowledgement& message)
{
    const auto sent = sent_reports_.find(message.number);
    if (message.incarnation != incarnation_ || sent == sent_reports_.end())
        return;
    // The collector sets its clock by the reports of all hosts.
    if (!is_collector())
        clock_.synchronize(message.agreed_time, sent->second,
                           services_.core.now());
    counter_.forget_before(message.first_open_window);
}

void usage_service::synchronize_collector()
{
    const std::uint64_t era = services_.follower.replicas().era();
    const time_point now = services_.core.now();
    // A process that starts in a later era does not know when it began.
    if (era != era_ && (era_ != 0 || era > 1))
        era_began_at_ = now;
    era_ = era;
    lagged_until_ = is_lagging() ? now + lag_recovery_time : lagged_until_;
    ticked_at_ = now;
    if (!is_collector())
        return;
    // A new collector keeps the time that its predecessor stated until it has
    // heard from most hosts.
    const std::size_t min_samples =
        clock_.is_synchronized() ? services_.fleet.live_hosts() / 2 + 1 : 1;
    const std::optional<fleet_time> agreed_time =
        collector_.agreed_time(min_samples, now);
    if (agreed_time)
        clock_.set(*agreed_time, now);
    const fleet_time time = clock_.time(now);
    collector_.forget_before(
        counter_.window_of(time - report_lifetime_factor *
                                      settings_.usage_report_delay),
        now);
}

// ========================================================================
// Reports of the fleet

std::size_t usage_service::missing_hosts(std::uint64_t window) const
{
    std::vector<std::string> hosts;
    for (const peer_host& host : services_.follower.directory().serving_hosts())
        hosts.push_back(host.host);
    return collector_.missing_hosts(window, hosts);
}

workspace_counts usage_service::merge(std::uint64_t window) const
{
    return collector_.merge(window);
}

usage_reporter::situation usage_service::situation() const
{
    usage_reporter::situation current;
    current.now = services_.core.now();
    current.agreed_time = clock_.time(current.now);
    if (services_.authority.may_begin_duties(current.now))
    {
        current.term = services_.authority.term();
        current.is_first_holder = services_.authority.is_first_holder();
        current.replacement_conditions =
            services_.authority.replacement_conditions();
    }
    current.era = era_;
    if (era_began_at_)
        current.era_began_at = clock_.time(*era_began_at_);
    return current;
}

void usage_service::report_loop(boost::asio::yield_context yield)
{
    while (!is_stopping_)
    {
        const usage_reporter::step next = reporter_.next_step(situation());
        const bool has_work = next.reads_rows || next.commit || next.body;
        if (has_work)
            perform(next, yield);
        else
            sleep_for(services_.core.context(), usage_tick_period, yield);
    }
}

void usage_service::perform(const usage_reporter::step& next,
                            boost::asio::yield_context yield)
{
    if (next.body)
    {
        send_body(next, yield);
        return;
    }
    boost::asio::steady_timer finished(
        services_.core.context(), boost::asio::steady_timer::time_point::max());
    if (next.reads_rows)
        services_.store.scan(
            usage_reporter::row_prefix, next.after_row, max_usage_rows,
            usage_store_timeout,
            [this, &finished](const result<std::vector<table_row>>& rows)
            {
                if (!rows)
                    services_.follower.monitor().record_failure(rows.error());
                reporter_.rows_read(rows, services_.core.now());
                finished.cancel();
            });
    else
        services_.store.commit(
            *next.commit, usage_store_timeout,
            [this, &finished, &next](const result<commit_receipt>& receipt)
            {
                if (!receipt)
                    services_.follower.monitor().record_failure(
                        receipt.error());
                reporter_.commit_finished(receipt, services_.core.now());
                const bool is_committed = receipt && receipt.value().committed;
                services_.core.journal().record(
                    event_number::usage_recorded,
                    {{"window", std::to_string(next.window)},
                     {"outcome", is_committed ? "recorded"
                                 : receipt    ? "conflict"
                                              : receipt.error().message()},
                     {"hosts", std::to_string(collector_.sources(next.window))},
                     {"missing_hosts",
                      std::to_string(reporter_.last_missing_hosts())}});
                finished.cancel();
            });
    boost::system::error_code ignored;
    finished.async_wait(yield[ignored]);
}

void usage_service::send_body(const usage_reporter::step& next,
                              boost::asio::yield_context yield)
{
    const std::string& body = *next.body;
    const std::optional<duty_result> outcome = caller_.call(
        [this, &body](const duty_authority& authority)
        { return services_.protocol.write_report(body, authority); },
        yield);
    reporter_.call_finished(outcome, services_.core.now());
    const bool is_accepted = outcome == duty_result::accepted;
    services_.core.metrics()
        .counter_of("hibiscusferry_usage_reports_total",
                    is_accepted ? "outcome=\"accepted\"" : "outcome=\"failed\"")
        .add();
    services_.core.journal().record(
        is_accepted ? event_number::usage_reported
                    : event_number::usage_report_failed,
        {{"window", std::to_string(next.window)},
         {"fencing_number",
          std::to_string(services_.authority.fencing_number())},
         {"outcome", outcome ? std::string(to_text(*outcome)) : "unknown"},
         {"bytes", std::to_string(body.size())}});
}

} // namespace hibiscusferry
