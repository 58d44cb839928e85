#include "serving/limits/shared_request_limit.hpp"

#include <algorithm>
#include <cmath>

namespace hibiscusferry
{

namespace
{

/** A statement that no response has repeated for this long is discarded. */
constexpr std::chrono::minutes statement_lifetime{10};

/** A target with a lower limit still gets a request from time to time, since
    only a response can end the limit. */
constexpr double min_rate = 0.1;

/** The requests that may be sent at once after a pause: those of this time, and
    a constant number, so that low limits can be used at all. */
constexpr std::chrono::duration<double> burst_time{0.2};
constexpr double burst_requests = 2;

/** Without reports of the other hosts for this long, a host counts as cut
    off. */
constexpr std::chrono::milliseconds max_report_age{600};

/** Weight of the newest interval between reports in their average. */
constexpr double newest_interval_weight = 0.1;

/** Reports pass the relays of two availability zones, which report to each
    other at this interval. */
constexpr std::chrono::duration<double> relay_delay{0.03};

/** Time constant of the demand: this, or the time that the target needs for a
    few requests if that is longer. */
constexpr std::chrono::duration<double> min_demand_time{0.3};
constexpr double min_demand_requests = 2;

/** The part of a limit that is aimed at; the rest covers the chance in the
    admission of single requests. */
constexpr double aimed_fraction = 0.97;

/** How long hosts report a statement that they have received in a response. */
constexpr std::chrono::seconds statement_report_time{10};

/** Demand below this is not reported. */
constexpr double min_reported_demand = 0.05;

} // namespace

// ========================================================================
// The limit

bool shared_request_limit::record_response(std::optional<double> rate,
                                           time_point sent_at, time_point now)
{
    const bool is_older = sent_at <= newest_.made_at;
    if (!rate && (!newest_.rate || is_older))
        return false;
    observed_ = rate ? statement{std::max(*rate, min_rate), now}
                     : statement{std::nullopt, sent_at};
    return adopt(*observed_, now);
}

bool shared_request_limit::adopt(const statement& newest, time_point now)
{
    const std::optional<double> rate_before = rate(now);
    newest_ = newest;
    // Requests sent before the limit was known were not counted.
    if (newest.rate && !rate_before)
        used_up_until_ = now + std::chrono::duration_cast<time_point::duration>(
                                   current_allowance().window);
    return newest.rate != rate_before;
}

bool shared_request_limit::apply_reports(const request_limit_report* sum,
                                         std::size_t hosts, time_point now)
{
    if (is_in_contact(now))
        report_interval_ +=
            newest_interval_weight *
            (std::chrono::duration<double>(now - *remote_received_at_) -
             report_interval_);
    remote_received_at_ = now;
    remote_hosts_ = hosts;
    remote_ = sum != nullptr ? *sum : request_limit_report{};
    const bool is_newer = sum != nullptr && sum->age <= statement_lifetime &&
                          now - sum->age > newest_.made_at;
    return is_newer && adopt({sum->rate, now - sum->age}, now);
}

std::optional<double> shared_request_limit::rate(time_point now) const
{
    return now - newest_.made_at <= statement_lifetime ? newest_.rate
                                                       : std::nullopt;
}

// ========================================================================
// Requests

bool shared_request_limit::is_in_contact(time_point now) const
{
    return remote_received_at_ && now - *remote_received_at_ <= max_report_age;
}

void shared_request_limit::update_share(std::size_t live_hosts,
                                        double random_value, time_point now)
{
    const bool has_contact = is_in_contact(now);
    const double hosts =
        static_cast<double>(std::max<std::size_t>(live_hosts, 1));
    const double contacts =
        1 + (has_contact ? static_cast<double>(remote_hosts_) : 0);
    share_ = std::min(contacts / hosts, 1.0);
    const bool has_lost_contact =
        hosts > 1 && !has_contact && remote_hosts_ > 0;
    if (!has_lost_contact)
        return;
    remote_hosts_ = 0;
    remote_ = {};
    // What this host did not use while it was cut off or frozen is lost. Hosts
    // that lose contact together begin at different times.
    used_up_until_ = now + std::chrono::duration_cast<time_point::duration>(
                               (1 + random_value) * current_allowance().window);
}

shared_request_limit::allowance shared_request_limit::current_allowance() const
{
    const double rate = newest_.rate.value_or(min_rate);
    allowance allowed;
    allowed.rate = aimed_fraction * share_ * rate;
    const double burst =
        std::max(share_ * (rate * burst_time.count() + burst_requests), 1.0);
    // Half of the burst is the window at the full rate. The other half is the
    // range in which the rate is corrected by what was sent in the window.
    allowed.window = std::chrono::duration<double>(burst / allowed.rate / 2);
    if (remote_hosts_ > 0)
        allowed.window =
            std::max(allowed.window, 2 * (2 * report_interval_ + relay_delay));
    allowed.requests = 2 * allowed.rate * allowed.window.count();
    return allowed;
}

void shared_request_limit::discard_old_requests(time_point now)
{
    const allowance allowed = current_allowance();
    while (!requests_.empty() && now - requests_.front() > allowed.window)
        requests_.pop_front();
}

double shared_request_limit::available_rate(time_point now)
{
    discard_old_requests(now);
    const allowance allowed = current_allowance();
    const double recent =
        static_cast<double>(requests_.size()) + remote_.recent_requests;
    if (now < used_up_until_)
        return 0;
    return std::max((allowed.requests - recent) / allowed.window.count(), 0.0);
}

bool shared_request_limit::try_acquire(unsigned rank, std::size_t live_hosts,
                                       double random_value, time_point now)
{
    if (!rate(now))
        return true;
    update_share(live_hosts, random_value, now);
    const std::size_t index = rank_index(rank);
    const double more_urgent =
        index > 0 ? demand(static_cast<unsigned>(index - 1), now) : 0;
    const double equally_urgent = demand(rank, now) - more_urgent;
    count_demand(rank, now);
    const double available = available_rate(now) - more_urgent;
    if (available <= 0)
        return false;
    // Accumulating the probability causes less variation than chance does.
    double& credit = credit_[index];
    if (!is_credit_initialized_)
        credit_.fill(random_value);
    is_credit_initialized_ = true;
    credit += equally_urgent > available ? available / equally_urgent : 1;
    if (credit < 1)
        return false;
    credit = std::min(credit - 1, 1.0);
    requests_.push_back(now);
    return true;
}

void shared_request_limit::record_request(time_point now)
{
    if (rate(now))
        requests_.push_back(now);
}

void shared_request_limit::release(time_point acquired_at)
{
    const auto entry =
        std::find(requests_.begin(), requests_.end(), acquired_at);
    if (entry != requests_.end())
        requests_.erase(entry);
}

// ========================================================================
// Demand

std::size_t shared_request_limit::rank_index(unsigned rank)
{
    return std::min<std::size_t>(rank, urgent_rank_count);
}

std::chrono::duration<double> shared_request_limit::demand_time() const
{
    return min_demand_time +
           std::chrono::duration<double>(
               min_demand_requests / newest_.rate.value_or(min_rate) / share_);
}

void shared_request_limit::count_demand(unsigned rank, time_point now)
{
    demand_ = own_demand(now);
    demand_updated_at_ = now;
    for (std::size_t index = rank_index(rank); index < demand_.size(); ++index)
        demand_[index] += 1 / demand_time().count();
}

std::array<double, urgent_rank_count + 1>
shared_request_limit::own_demand(time_point now) const
{
    const std::chrono::duration<double> elapsed = now - demand_updated_at_;
    const double decay_factor = std::exp(-(elapsed / demand_time()));
    std::array<double, urgent_rank_count + 1> rates = demand_;
    for (double& rate : rates)
        rate *= decay_factor;
    return rates;
}

double shared_request_limit::demand(unsigned rank, time_point now) const
{
    const std::size_t index = rank_index(rank);
    return own_demand(now)[index] +
           (is_in_contact(now) ? remote_.demand[index] : 0);
}

std::optional<request_limit_report> shared_request_limit::report(time_point now)
{
    request_limit_report own;
    own.age = request_limit_report::no_statement;
    const bool has_observed =
        observed_ && now - observed_->made_at <= statement_report_time;
    if (has_observed)
    {
        own.rate = observed_->rate;
        own.age = std::chrono::duration_cast<std::chrono::milliseconds>(
            now - observed_->made_at);
    }
    if (rate(now))
    {
        discard_old_requests(now);
        own.recent_requests = static_cast<double>(requests_.size());
        own.demand = own_demand(now);
    }
    const bool is_used =
        own.recent_requests > 0 || own.demand.back() >= min_reported_demand;
    if (!has_observed && !is_used)
        return std::nullopt;
    return own;
}

} // namespace hibiscusferry
