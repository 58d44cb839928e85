#ifndef HIBISCUSFERRY_FOUNDATION_METRICS_METRICS_REGISTRY_HPP
#define HIBISCUSFERRY_FOUNDATION_METRICS_METRICS_REGISTRY_HPP

// Boost 1.74's quantile header uses std::ostringstream without including it.
#include <sstream>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <chrono>
#include <cstdint>
#include <map>
#include <string>

namespace hibiscusferry
{

/** A metric that only increases. */
class counter
{
public:
    void add(std::uint64_t amount = 1);
    std::uint64_t value() const;

private:
    std::uint64_t value_ = 0;
};

/** A metric that can increase and decrease. */
class gauge
{
public:
    void set(double value);
    double value() const;

private:
    double value_ = 0;
};

/** A distribution of durations, with count, sum and estimated quantiles.

    Uses the extended P-square estimator of Boost.Accumulators.
*/
class duration_distribution
{
public:
    duration_distribution();

    void add(std::chrono::nanoseconds sample);
    std::size_t count() const;
    std::chrono::nanoseconds sum() const;

    /** Returns an estimated quantile, or zero if there are no samples.

        @param probability  0.5, 0.95 or 0.99
    */
    std::chrono::nanoseconds quantile(double probability) const;

private:
    using accumulator = boost::accumulators::accumulator_set<
        double,
        boost::accumulators::stats<
            boost::accumulators::tag::count, boost::accumulators::tag::sum,
            boost::accumulators::tag::extended_p_square_quantile>>;
    accumulator accumulator_;
};

/** All metrics of a process, in the text exposition format of Prometheus.

    A metric is created on first use and lives as long as the registry, so that
    callers may keep references to it. A metric is identified by its name and
    its labels, such as `service="order-desk"`, which may be empty. Not
    thread-safe.
*/
class metrics_registry
{
public:
    counter& counter_of(const std::string& name,
                        const std::string& labels = "");
    gauge& gauge_of(const std::string& name, const std::string& labels = "");
    duration_distribution& durations_of(const std::string& name,
                                        const std::string& labels = "");

    /** Returns the content of the /metrics page. Durations are in seconds. */
    std::string text() const;

private:
    template <class Metric>
    using family = std::map<std::string, std::map<std::string, Metric>>;

    family<counter> counters_;
    family<gauge> gauges_;
    family<duration_distribution> durations_;
};

} // namespace hibiscusferry

#endif
