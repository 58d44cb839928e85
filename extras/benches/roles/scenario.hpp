#ifndef HIBISCUSFERRY_EXTRAS_BENCHES_ROLES_SCENARIO_HPP
#define HIBISCUSFERRY_EXTRAS_BENCHES_ROLES_SCENARIO_HPP

#include "roles/roles.hpp"
#include <string>
#include <toml++/toml.h>
#include <vector>

namespace hibiscusferry::roles_bench
{

/** Mean token counts of one class of requests. */
struct request_shape
{
    double prompt_tokens = 0;
    double output_tokens = 0;
};

/** A component of the prefill share over time; all components are summed. */
struct share_part
{
    /** "step", "drift", "square" or "sine". */
    std::string kind;
    double amplitude = 0;
    double from_s = 0;
    double to_s = 0;
    double period_s = 0;
};

/** A crash of engines and the time at which they are restored; 0 for never. */
struct engine_loss
{
    double at_s = 0;
    double restore_s = 0;
    int engines = 1;
};

/** Delay, loss and duplication of the reports to the policy. */
struct report_conditions
{
    double router_lag_s = 0.5;
    double engine_lag_s = 1.0;
    double loss_share = 0;
    double duplicate_share = 0;
    /** Interval in which all reports are lost. */
    double silent_from_s = 0;
    double silent_to_s = 0;
};

/** Settings of the threshold rule. */
struct threshold_settings
{
    /** Minimum difference between the two utilisations. */
    double gap = 0.25;
    /** Minimum of the higher utilisation. */
    double min_utilisation = 0.7;
    /** Time for which both conditions must hold before a change. */
    double hold_s = 10;
    /** Minimum interval between two changes. */
    double min_interval_s = 20;
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
    /** Offered work as a share of the capacity of all engines. */
    double load = 0.75;
    /** Mean share of prefill in the work. */
    double share = 0.4;
    /** Standard deviation of the slow random variation of load and share. */
    double noise = 0;
    std::vector<share_part> parts;
    std::vector<engine_loss> losses;
    report_conditions reports;
    double change_failure_share = 0;
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
void parse(const toml::table& table, const char* key, Value& output)
{
    output = table[key].value_or(output);
}

inline const toml::table& section(const toml::table& root, const char* name)
{
    static const toml::table empty;
    const toml::table* const section_table = root[name].as_table();
    return section_table == nullptr ? empty : *section_table;
}

inline void parse_milliseconds(const toml::table& table, const char* key,
                               std::chrono::milliseconds& output)
{
    output = std::chrono::milliseconds(
        table[key].value_or<std::int64_t>(output.count()));
}

inline void parse_service(const toml::table& table, scenario& output)
{
    parse(table, "name", output.service);
    parse(table, "engines", output.engines);
    parse(table, "availability_zones", output.availability_zones);
    parse(table, "routers", output.routers);
    parse(table, "first_token_s", output.first_token_s);
    parse(table, "goodput_weight", output.rules.goodput_weight);
    parse(table, "most_away", output.rules.max_unavailable);
    parse(table, "least_mixed", output.rules.min_mixed_engines);
    parse_milliseconds(table, "change_duration_ms",
                       output.rules.change_duration);
}

inline void parse_engine(const toml::table& table, scenario& output)
{
    parse(table, "prefill_tokens_per_second", output.prefill_tokens_per_second);
    parse(table, "decode_streams", output.decode_streams);
    parse(table, "token_interval_s", output.token_interval_s);
    parse(table, "mixed_efficiency", output.mixed_efficiency);
}

inline request_shape parse_shape(const toml::table& table)
{
    request_shape shape;
    parse(table, "prompt_tokens", shape.prompt_tokens);
    parse(table, "output_tokens", shape.output_tokens);
    return shape;
}

inline void parse_parts(const toml::table& root, scenario& output)
{
    if (const toml::array* const parts = root["share_part"].as_array())
    {
        for (const toml::node& node : *parts)
        {
            const toml::table& table = *node.as_table();
            share_part part;
            parse(table, "kind", part.kind);
            parse(table, "amplitude", part.amplitude);
            parse(table, "from_s", part.from_s);
            parse(table, "to_s", part.to_s);
            parse(table, "period_s", part.period_s);
            output.parts.push_back(part);
        }
    }
    if (const toml::array* const losses = root["engine_loss"].as_array())
    {
        for (const toml::node& node : *losses)
        {
            const toml::table& table = *node.as_table();
            engine_loss loss;
            parse(table, "at_s", loss.at_s);
            parse(table, "back_s", loss.restore_s);
            parse(table, "engines", loss.engines);
            output.losses.push_back(loss);
        }
    }
}

inline void parse_reports(const toml::table& table, report_conditions& output)
{
    parse(table, "router_lag_s", output.router_lag_s);
    parse(table, "engine_lag_s", output.engine_lag_s);
    parse(table, "lost_part", output.loss_share);
    parse(table, "duplicated_part", output.duplicate_share);
    parse(table, "silent_from_s", output.silent_from_s);
    parse(table, "silent_to_s", output.silent_to_s);
}

inline void parse_threshold(const toml::table& table,
                            threshold_settings& output)
{
    parse(table, "gap", output.gap);
    parse(table, "least_use", output.min_utilisation);
    parse(table, "hold_s", output.hold_s);
    parse(table, "rest_s", output.min_interval_s);
}

} // namespace detail

/** Parses a scenario file.

    @param path     the file
    @param problem  receives a description of the error, if parsing fails
*/
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
    detail::parse(root, "name", loaded.name);
    detail::parse(root, "duration_s", loaded.duration_s);
    detail::parse_service(detail::section(root, "service"), loaded);
    detail::parse_engine(detail::section(root, "engine"), loaded);
    loaded.document = detail::parse_shape(detail::section(root, "document"));
    loaded.query = detail::parse_shape(detail::section(root, "query"));
    const toml::table& load = detail::section(root, "load");
    detail::parse(load, "load", loaded.load);
    detail::parse(load, "share", loaded.share);
    detail::parse(load, "noise", loaded.noise);
    detail::parse(load, "change_failure_part", loaded.change_failure_share);
    detail::parse_parts(root, loaded);
    detail::parse_reports(detail::section(root, "reports"), loaded.reports);
    detail::parse_threshold(detail::section(root, "threshold"),
                            loaded.threshold);
    if (loaded.engines < 2 || loaded.document.prompt_tokens <= 0 ||
        loaded.query.output_tokens <= 0)
    {
        problem = "at least 2 engines, [document] prompt_tokens and [query] "
                  "output_tokens are required";
        return make_error_code(roles_error::invalid_settings);
    }
    return loaded;
}

} // namespace hibiscusferry::roles_bench

#endif
