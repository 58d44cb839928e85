#ifndef HIBISCUSFERRY_EXTRAS_BENCHES_ROLES_SCENARIO_HPP
#define HIBISCUSFERRY_EXTRAS_BENCHES_ROLES_SCENARIO_HPP

#include "roles/roles.hpp"
#include <string>
#include <toml++/toml.h>
#include <vector>

namespace hibiscusferry::roles_bench
{

/** One kind of request of a scenario: mean token counts. */
struct request_shape
{
    double prompt_tokens = 0;
    double output_tokens = 0;
};

/** A part of the prefill share over time; parts are added up. */
struct share_part
{
    /** "step", "drift", "square" or "sine". */
    std::string kind;
    double amplitude = 0;
    double from_s = 0;
    double to_s = 0;
    double period_s = 0;
};

/** Engines that crash, and when they are back; 0 for never. */
struct engine_loss
{
    double at_s = 0;
    double back_s = 0;
    int engines = 1;
};

/** How reports reach the policy. */
struct report_conditions
{
    double router_lag_s = 0.5;
    double engine_lag_s = 1.0;
    double lost_part = 0;
    double duplicated_part = 0;
    /** An interval in which no report arrives at all. */
    double silent_from_s = 0;
    double silent_to_s = 0;
};

/** What a threshold rule is tuned by. */
struct threshold_settings
{
    /** How far the two utilisations must be apart. */
    double gap = 0.25;
    /** The greater of them must be at least this. */
    double least_use = 0.7;
    /** How long it must last. */
    double hold_s = 10;
    /** The least time between two changes. */
    double rest_s = 20;
};

/** One scenario file. */
struct scenario
{
    std::string name;
    std::string service;
    double duration_s = 1800;
    int engines = 0;
    int availability_zones = 3;
    int routers = 8;
    role_rules rules;
    double first_token_s = 0.34;
    double prefill_tokens_per_second = 20000;
    int decode_streams = 32;
    double token_interval_s = 0.04;
    double mixed_efficiency = 0.75;
    request_shape document;
    request_shape query;
    /** Offered work as a part of all engines' capacity. */
    double load = 0.75;
    /** Mean prefill part of the work. */
    double share = 0.4;
    /** Standard deviation of a slow random change of load and share. */
    double noise = 0;
    std::vector<share_part> parts;
    std::vector<engine_loss> losses;
    report_conditions reports;
    double change_failure_part = 0;
    threshold_settings threshold;

    engine_capacity capacity() const
    {
        return {prefill_tokens_per_second, decode_streams / token_interval_s,
                mixed_efficiency};
    }
};

namespace detail
{

template <class Value>
void read(const toml::table& table, const char* key, Value& into)
{
    into = table[key].value_or(into);
}

inline const toml::table& section(const toml::table& root, const char* name)
{
    static const toml::table empty;
    const toml::table* const found = root[name].as_table();
    return found == nullptr ? empty : *found;
}

inline void read_milliseconds(const toml::table& table, const char* key,
                              std::chrono::milliseconds& into)
{
    into = std::chrono::milliseconds(
        table[key].value_or<std::int64_t>(into.count()));
}

inline void read_service(const toml::table& table, scenario& into)
{
    read(table, "name", into.service);
    read(table, "engines", into.engines);
    read(table, "availability_zones", into.availability_zones);
    read(table, "routers", into.routers);
    read(table, "first_token_s", into.first_token_s);
    read(table, "goodput_weight", into.rules.goodput_weight);
    read(table, "most_away", into.rules.max_unavailable);
    read(table, "least_mixed", into.rules.min_mixed_engines);
    read_milliseconds(table, "change_duration_ms", into.rules.change_duration);
}

inline void read_engine(const toml::table& table, scenario& into)
{
    read(table, "prefill_tokens_per_second", into.prefill_tokens_per_second);
    read(table, "decode_streams", into.decode_streams);
    read(table, "token_interval_s", into.token_interval_s);
    read(table, "mixed_efficiency", into.mixed_efficiency);
}

inline request_shape read_shape(const toml::table& table)
{
    request_shape shape;
    read(table, "prompt_tokens", shape.prompt_tokens);
    read(table, "output_tokens", shape.output_tokens);
    return shape;
}

inline void read_parts(const toml::table& root, scenario& into)
{
    if (const toml::array* const parts = root["share_part"].as_array())
    {
        for (const toml::node& node : *parts)
        {
            const toml::table& table = *node.as_table();
            share_part part;
            read(table, "kind", part.kind);
            read(table, "amplitude", part.amplitude);
            read(table, "from_s", part.from_s);
            read(table, "to_s", part.to_s);
            read(table, "period_s", part.period_s);
            into.parts.push_back(part);
        }
    }
    if (const toml::array* const losses = root["engine_loss"].as_array())
    {
        for (const toml::node& node : *losses)
        {
            const toml::table& table = *node.as_table();
            engine_loss loss;
            read(table, "at_s", loss.at_s);
            read(table, "back_s", loss.back_s);
            read(table, "engines", loss.engines);
            into.losses.push_back(loss);
        }
    }
}

inline void read_reports(const toml::table& table, report_conditions& into)
{
    read(table, "router_lag_s", into.router_lag_s);
    read(table, "engine_lag_s", into.engine_lag_s);
    read(table, "lost_part", into.lost_part);
    read(table, "duplicated_part", into.duplicated_part);
    read(table, "silent_from_s", into.silent_from_s);
    read(table, "silent_to_s", into.silent_to_s);
}

inline void read_threshold(const toml::table& table, threshold_settings& into)
{
    read(table, "gap", into.gap);
    read(table, "least_use", into.least_use);
    read(table, "hold_s", into.hold_s);
    read(table, "rest_s", into.rest_s);
}

} // namespace detail

/** Reads a scenario file; the text says what is wrong with it. */
inline result<scenario> load_scenario(const std::string& path,
                                      std::string& problem)
{
    const toml::parse_result parsed = toml::parse_file(path);
    if (!parsed)
    {
        problem = std::string(parsed.error().description());
        return make_error_code(roles_error::invalid_settings);
    }
    const toml::table& root = parsed.table();
    scenario loaded;
    detail::read(root, "name", loaded.name);
    detail::read(root, "duration_s", loaded.duration_s);
    detail::read_service(detail::section(root, "service"), loaded);
    detail::read_engine(detail::section(root, "engine"), loaded);
    loaded.document = detail::read_shape(detail::section(root, "document"));
    loaded.query = detail::read_shape(detail::section(root, "query"));
    const toml::table& load = detail::section(root, "load");
    detail::read(load, "load", loaded.load);
    detail::read(load, "share", loaded.share);
    detail::read(load, "noise", loaded.noise);
    detail::read(load, "change_failure_part", loaded.change_failure_part);
    detail::read_parts(root, loaded);
    detail::read_reports(detail::section(root, "reports"), loaded.reports);
    detail::read_threshold(detail::section(root, "threshold"),
                           loaded.threshold);
    if (loaded.engines < 2 || loaded.document.prompt_tokens <= 0 ||
        loaded.query.output_tokens <= 0)
    {
        problem = "engines, [document] and [query] are needed";
        return make_error_code(roles_error::invalid_settings);
    }
    return loaded;
}

} // namespace hibiscusferry::roles_bench

#endif
