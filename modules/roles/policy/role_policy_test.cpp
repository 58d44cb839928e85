#include "roles/roles.hpp"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <deque>
#include <random>

using namespace hibiscusferry;

namespace
{

/** The conditions of a simulated pool. */
struct pool_conditions
{
    role_split split{4, 5, 1};
    /** The rules that the policy is given. */
    role_rules rules;
    bool use_expectations = true;
    int engine_lag_s = 1;
    int change_s = 8;
    double lost_reports = 0;
    double failed_changes = 0;
    bool routers_report = true;
    bool engines_report = true;
    std::uint32_t seed = 1;
};

/** Engines and routers as the policy sees them, second by second: reports
    lag, changes take their time and may fail. */
class simulated_pool
{
public:
    explicit simulated_pool(const pool_conditions& conditions)
        : conditions_(conditions)
        , policy_(make_policy(conditions))
        , random_(conditions.seed)
    {
        const role_split& split = conditions.split;
        for (const engine_role role :
             {engine_role::prefill, engine_role::decode, engine_role::mixed})
        {
            for (int count = split.of(role); count > 0; --count)
                add_engine(role);
        }
    }

    /** One second with a demand in engines. */
    void step(const engine_demand& demand)
    {
        ++second_;
        finish_changes();
        report(demand);
        for (const role_change& change : policy_.decide(now()))
            begin(change);
        const int away = static_cast<int>(std::count_if(
            engines_.begin(), engines_.end(),
            [](const simulated_engine& each) { return each.busy_until > 0; }));
        greatest_away = std::max(greatest_away, away);
    }

    void lose_engine()
    {
        policy_.on_engine_lost(engines_.front().name, now());
        engines_.pop_front();
    }

    /** The last one made is a mixed one. */
    void lose_last_engine()
    {
        policy_.on_engine_lost(engines_.back().name, now());
        engines_.pop_back();
    }

    role_split split() const
    {
        role_split counted;
        for (const simulated_engine& each : engines_)
            ++counted.of(each.role);
        return counted;
    }

    role_hold hold()
    {
        return policy_.status(now()).front().hold;
    }

    pool_conditions& conditions()
    {
        return conditions_;
    }

    int changes = 0;
    int greatest_away = 0;
    bool asked_twice = false;

private:
    struct simulated_engine
    {
        std::string name;
        engine_role role;
        engine_role next_role;
        int busy_until = 0;
    };

    static role_policy make_policy(const pool_conditions& conditions)
    {
        role_policy_settings settings;
        settings.rules = conditions.rules;
        settings.use_expectations = conditions.use_expectations;
        return role_policy::create(settings).value();
    }

    time_point now() const
    {
        return time_point(std::chrono::hours(1)) +
               std::chrono::seconds(second_);
    }

    bool happens(double probability)
    {
        return std::generate_canonical<double, 32>(random_) < probability;
    }

    void add_engine(engine_role role)
    {
        engines_.push_back(
            {"engine-" + std::to_string(engines_.size()), role, role, 0});
    }

    void finish_changes()
    {
        for (simulated_engine& each : engines_)
        {
            if (each.busy_until == 0 || second_ < each.busy_until)
                continue;
            each.busy_until = 0;
            if (happens(conditions_.failed_changes))
            {
                policy_.on_change_failed(each.name, now());
                continue;
            }
            each.role = each.next_role;
            policy_.on_change_finished(each.name, each.role, now());
        }
    }

    void report(const engine_demand& demand)
    {
        const engine_capacity capacity;
        counts_.router = "router-1";
        counts_.incarnation = 1;
        counts_.uptime = std::chrono::seconds(second_);
        counts_.offered_requests += 100;
        counts_.finished_requests += 100;
        // Refusals as the policy's own model has them.
        const double refused =
            loss_rate(split(), demand, capacity.mixed_efficiency) /
            (demand.prefill + demand.decode);
        counts_.refused_requests += static_cast<std::uint64_t>(100 * refused);
        counts_.offered_prefill_tokens += static_cast<std::uint64_t>(
            demand.prefill * capacity.prefill_tokens_per_second);
        counts_.decoded_tokens += static_cast<std::uint64_t>(
            (1 - refused) * demand.decode * capacity.decode_tokens_per_second);
        if (conditions_.routers_report && !happens(conditions_.lost_reports))
            policy_.on_router_report(counts_, now());

        for (const simulated_engine& each : engines_)
        {
            engine_report made;
            made.engine = each.name;
            made.role = each.role;
            made.state = each.busy_until > 0 ? engine_state::changing
                                             : engine_state::serving;
            made.measured_at = now();
            in_flight_.push_back(made);
        }
        while (!in_flight_.empty() &&
               in_flight_.front().measured_at +
                       std::chrono::seconds(conditions_.engine_lag_s) <=
                   now())
        {
            if (conditions_.engines_report &&
                !happens(conditions_.lost_reports))
                policy_.on_engine_report(in_flight_.front(), now());
            in_flight_.pop_front();
        }
    }

    void begin(const role_change& change)
    {
        for (simulated_engine& each : engines_)
        {
            if (each.name != change.engine)
                continue;
            asked_twice = asked_twice || each.busy_until > 0;
            if (each.role == change.to)
            {
                policy_.on_change_finished(each.name, each.role, now());
                return;
            }
            ++changes;
            each.next_role = change.to;
            each.busy_until = second_ + conditions_.change_s;
            policy_.on_change_started(each.name, change.to,
                                      now() + std::chrono::seconds(60), now());
        }
    }

    pool_conditions conditions_;
    role_policy policy_;
    std::mt19937 random_;
    std::deque<simulated_engine> engines_;
    std::deque<engine_report> in_flight_;
    router_load_report counts_;
    int second_ = 0;
};

constexpr engine_demand long_prompts{5.0, 2.0};
constexpr engine_demand long_answers{2.0, 5.0};

double change_cost(const role_rules& rules)
{
    return std::chrono::duration<double>(rules.change_duration).count() /
           rules.goodput_weight;
}

/** An hour of a square wave: what changes cost, and what staying loses. */
struct wave_costs
{
    double changes = 0;
    double staying = 0;
};

engine_demand wave_at(int second, int half_period)
{
    return second / half_period % 2 == 0 ? long_prompts : long_answers;
}

wave_costs run_wave(const pool_conditions& conditions, int half_period)
{
    simulated_pool pool(conditions);
    wave_costs costs;
    for (int second = 0; second < 3600; ++second)
    {
        const engine_demand demand = wave_at(second, half_period);
        pool.step(demand);
        costs.staying += loss_rate(conditions.split, demand,
                                   engine_capacity().mixed_efficiency);
    }
    costs.changes = pool.changes * change_cost(conditions.rules);
    return costs;
}

/** The same for a rule that always goes to the best split of the moment. */
wave_costs run_eager_rule(const pool_conditions& conditions, int half_period)
{
    role_split split = conditions.split;
    wave_costs costs;
    for (int second = 0; second < 3600; ++second)
    {
        const engine_demand demand = wave_at(second, half_period);
        role_work_function moment;
        moment.prepare({0.01, engine_capacity().mixed_efficiency, 1}, split);
        moment.charge(demand, std::chrono::seconds(1));
        const role_split target = moment.target(split);
        costs.changes +=
            changes_between(split, target) * change_cost(conditions.rules);
        split = target;
        costs.staying += loss_rate(conditions.split, demand,
                                   engine_capacity().mixed_efficiency);
    }
    return costs;
}

/** Changes may cost what staying would have, and one reshaping of the pool:
    the promise of rent-or-buy. */
bool keeps_promise(const wave_costs& costs, const pool_conditions& conditions)
{
    const double reshaping =
        conditions.split.engines() * change_cost(conditions.rules);
    return costs.changes <= costs.staying + reshaping;
}

} // namespace

BOOST_AUTO_TEST_SUITE(role_policy_test)

BOOST_AUTO_TEST_CASE(settings_out_of_range_are_refused)
{
    role_policy_settings settings;
    settings.rules.goodput_weight = 1.5;
    BOOST_TEST((role_policy::create(settings).error() ==
                roles_error::invalid_settings));
    BOOST_TEST(
        (parse_engine_role("prefil").error() == roles_error::unknown_role));
}

BOOST_AUTO_TEST_CASE(a_lasting_shift_is_followed_and_least_mixed_is_kept)
{
    simulated_pool pool({});
    for (int second = 0; second < 600; ++second)
        pool.step(long_prompts);
    BOOST_TEST(pool.split().prefill > 4);
    BOOST_TEST(pool.split().mixed >= 1);
    BOOST_TEST(pool.changes <= 4);
}

BOOST_AUTO_TEST_CASE(a_higher_weight_of_goodput_changes_sooner)
{
    int first_change[2] = {0, 0};
    for (const int number : {0, 1})
    {
        pool_conditions conditions;
        conditions.rules.goodput_weight = number == 0 ? 0.8 : 0.2;
        simulated_pool pool(conditions);
        while (pool.changes == 0 && first_change[number] < 2000)
        {
            pool.step(long_prompts);
            ++first_change[number];
        }
    }
    BOOST_TEST(first_change[0] < first_change[1]);
    BOOST_TEST(first_change[1] < 2000);
}

BOOST_AUTO_TEST_CASE(square_waves_of_any_period_do_not_make_it_flap)
{
    for (const int half_period : {2, 5, 13, 30, 60, 120, 300, 900})
    {
        pool_conditions conditions;
        conditions.rules.goodput_weight = 0.3;
        conditions.lost_reports = half_period % 2 == 0 ? 0.0 : 0.4;
        const wave_costs costs = run_wave(conditions, half_period);
        BOOST_TEST(keeps_promise(costs, conditions),
                   "half period " << half_period << ": changes "
                                  << costs.changes << ", staying "
                                  << costs.staying);
    }
}

BOOST_AUTO_TEST_CASE(the_flapping_check_catches_a_rule_that_flaps)
{
    pool_conditions conditions;
    conditions.rules.goodput_weight = 0.3;
    for (const int half_period : {2, 13})
        BOOST_TEST(!keeps_promise(run_eager_rule(conditions, half_period),
                                  conditions));
}

BOOST_AUTO_TEST_CASE(never_more_away_than_the_document_allows)
{
    for (std::uint32_t seed = 1; seed <= 12; ++seed)
    {
        pool_conditions conditions;
        conditions.rules.max_unavailable = 1 + seed % 3;
        conditions.rules.goodput_weight = 0.9;
        conditions.use_expectations = seed % 2 == 0;
        conditions.engine_lag_s = static_cast<int>(seed % 4) * 8 + 1;
        conditions.lost_reports = 0.3;
        conditions.failed_changes = 0.2;
        conditions.change_s = 5 + static_cast<int>(seed % 5) * 10;
        conditions.seed = seed;
        simulated_pool pool(conditions);
        for (int second = 0; second < 1500; ++second)
        {
            pool.step(second / 250 % 2 == 0 ? long_prompts : long_answers);
            if (second == 700)
                pool.lose_engine();
        }
        BOOST_TEST(pool.greatest_away > 0);
        BOOST_TEST(pool.greatest_away <=
                   static_cast<int>(conditions.rules.max_unavailable));
        BOOST_TEST(!pool.asked_twice);
    }
}

BOOST_AUTO_TEST_CASE(the_limit_of_the_policy_is_what_keeps_engines_serving)
{
    // Planted fault: the policy is given a limit of three for a limit of one.
    pool_conditions conditions;
    conditions.rules.max_unavailable = 3;
    conditions.rules.goodput_weight = 0.9;
    conditions.change_s = 60;
    simulated_pool pool(conditions);
    for (int second = 0; second < 600; ++second)
        pool.step(second < 300 ? long_prompts : long_answers);
    BOOST_TEST(pool.greatest_away > 1);
}

BOOST_AUTO_TEST_CASE(nothing_is_changed_on_stale_reports)
{
    for (const bool routers : {true, false})
    {
        for (const bool stale : {true, false})
        {
            simulated_pool pool({});
            for (int second = 0; second < 60; ++second)
                pool.step({3.5, 3.5});
            // The demand that makes it change comes as the reports stop.
            (routers ? pool.conditions().routers_report
                     : pool.conditions().engines_report) = !stale;
            const int before = pool.changes;
            for (int second = 0; second < 35; ++second)
                pool.step({3.5, 3.5});
            for (int second = 0; second < 600; ++second)
                pool.step(long_prompts);
            BOOST_TEST((pool.changes == before) == stale);
            BOOST_TEST((pool.hold() == role_hold::stale_reports) == stale);
        }
    }
}

BOOST_AUTO_TEST_CASE(a_new_holder_does_not_act_on_half_of_the_fleet)
{
    for (std::uint32_t seed = 1; seed <= 20; ++seed)
    {
        // The demand fits the split; the mixed engine may be heard of last.
        pool_conditions conditions;
        conditions.lost_reports = 0.6;
        conditions.seed = seed;
        simulated_pool pool(conditions);
        for (int second = 0; second < 120; ++second)
            pool.step({3.0, 4.0});
        BOOST_TEST(pool.changes == 0);
    }
}

BOOST_AUTO_TEST_CASE(a_lost_engine_holds_changes_back_for_a_while)
{
    simulated_pool pool({});
    for (int second = 0; second < 60; ++second)
        pool.step({3.5, 3.5});
    pool.lose_engine();
    pool.step(long_prompts);
    BOOST_TEST((pool.hold() == role_hold::degraded_fleet));
    for (int second = 0; second < 300; ++second)
        pool.step(long_prompts);
    BOOST_TEST((pool.hold() == role_hold::none));
    BOOST_TEST(pool.changes > 0);
}

BOOST_AUTO_TEST_CASE(a_lost_mixed_engine_is_replaced_once)
{
    simulated_pool pool({});
    for (int second = 0; second < 60; ++second)
        pool.step({3.0, 4.0});
    pool.lose_last_engine();
    for (int second = 0; second < 1800; ++second)
        pool.step({3.0, 4.0});
    BOOST_TEST(pool.split().mixed == 1);
    BOOST_TEST(pool.changes == 1);
}

BOOST_AUTO_TEST_CASE(expectations_prevent_overshoot_under_lag)
{
    int changes[2] = {0, 0};
    for (const bool use_expectations : {true, false})
    {
        pool_conditions conditions;
        conditions.rules.goodput_weight = 0.9;
        conditions.rules.max_unavailable = 2;
        conditions.engine_lag_s = 25;
        conditions.use_expectations = use_expectations;
        simulated_pool pool(conditions);
        for (int second = 0; second < 600; ++second)
            pool.step(long_prompts);
        changes[use_expectations ? 0 : 1] = pool.changes;
        if (use_expectations)
            BOOST_TEST(pool.changes ==
                       changes_between(conditions.split, pool.split()));
    }
    // Without them the same test finds more changes.
    BOOST_TEST(changes[0] < changes[1]);
}

BOOST_AUTO_TEST_SUITE_END()
