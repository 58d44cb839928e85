#include "foundation/metrics/metrics_registry.hpp"

#include <array>
#include <sstream>

namespace hibiscusferry
{

namespace
{

constexpr std::array<double, 3> reported_probabilities = {0.5, 0.95, 0.99};

double to_seconds(std::chrono::nanoseconds duration)
{
    return std::chrono::duration<double>(duration).count();
}

std::string braces(const std::string& labels)
{
    return labels.empty() ? "" : "{" + labels + "}";
}

} // namespace

void counter::add(std::uint64_t amount)
{
    value_ += amount;
}

std::uint64_t counter::value() const
{
    return value_;
}

void gauge::set(double value)
{
    value_ = value;
}

double gauge::value() const
{
    return value_;
}

duration_distribution::duration_distribution()
    : accumulator_(
          boost::accumulators::tag::extended_p_square_quantile::probabilities =
              reported_probabilities)
{
}

void duration_distribution::add(std::chrono::nanoseconds sample)
{
    accumulator_(to_seconds(sample));
}

std::size_t duration_distribution::count() const
{
    return boost::accumulators::count(accumulator_);
}

std::chrono::nanoseconds duration_distribution::sum() const
{
    return std::chrono::duration_cast<std::chrono::nanoseconds>(
        std::chrono::duration<double>(boost::accumulators::sum(accumulator_)));
}

std::chrono::nanoseconds
duration_distribution::quantile(double probability) const
{
    if (count() == 0)
        return std::chrono::nanoseconds(0);
    const double seconds = boost::accumulators::quantile(
        accumulator_, boost::accumulators::quantile_probability = probability);
    return std::chrono::duration_cast<std::chrono::nanoseconds>(
        std::chrono::duration<double>(seconds));
}

counter& metrics_registry::counter_of(const std::string& name,
                                      const std::string& labels)
{
    return counters_[name][labels];
}

gauge& metrics_registry::gauge_of(const std::string& name,
                                  const std::string& labels)
{
    return gauges_[name][labels];
}

duration_distribution& metrics_registry::durations_of(const std::string& name,
                                                      const std::string& labels)
{
    return durations_[name][labels];
}

std::string metrics_registry::text() const
{
    std::ostringstream page;
    for (const auto& [name, series] : counters_)
    {
        page << "# TYPE " << name << " counter\n";
        for (const auto& [labels, metric] : series)
            page << name << braces(labels) << " " << metric.value() << "\n";
    }
    for (const auto& [name, series] : gauges_)
    {
        page << "# TYPE " << name << " gauge\n";
        for (const auto& [labels, metric] : series)
            page << name << braces(labels) << " " << metric.value() << "\n";
    }
    for (const auto& [name, series] : durations_)
    {
        page << "# TYPE " << name << " summary\n";
        for (const auto& [labels, metric] : series)
        {
            const std::string separator = labels.empty() ? "" : ",";
            for (const double probability : reported_probabilities)
            {
                page << name << "{" << labels << separator << "quantile=\""
                     << probability << "\"} "
                     << to_seconds(metric.quantile(probability)) << "\n";
            }
            page << name << "_sum" << braces(labels) << " "
                 << to_seconds(metric.sum()) << "\n";
            page << name << "_count" << braces(labels) << " " << metric.count()
                 << "\n";
        }
    }
    return page.str();
}

} // namespace hibiscusferry
