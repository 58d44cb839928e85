/** @file
    Measures the processor time that a large configuration takes on a host: to
    read it whole, to apply the change of one route that a relay sends, to look
    up a route, and to read the response of the store.
*/
#include "platform/platform_adapter.hpp"
#include <algorithm>
#include <chrono>
#include <cstdio>
#include <functional>
#include <gflags/gflags.h>
#include <random>
#include <string>
#include <vector>

DEFINE_uint64(runs, 15, "number of runs, of which the fastest counts");

using namespace hibiscusferry;

namespace
{

std::string route_text(std::mt19937_64& random)
{
    const std::string name = std::to_string(random() % 100'000'000);
    return R"({"name":"r-)" + name + R"(","hostname":"shop.example",)" +
           R"("prefix":"/)" + name +
           R"(/","kind":"idempotent","timeout-ms":4000,"priority":1,)" +
           R"("service":"desk"})";
}

std::string configuration_text_of(const std::vector<std::string>& routes,
                                  int version)
{
    std::string text =
        R"({"version":)" + std::to_string(version) + R"(,"routes":[)";
    for (std::size_t index = 0; index < routes.size(); ++index)
        text += (index == 0 ? "" : ",") + routes[index];
    return text + "]}";
}

double fastest_ms(const std::function<double()>& run)
{
    double fastest = run();
    for (std::uint64_t repeated = 1; repeated < FLAGS_runs; ++repeated)
        fastest = std::min(fastest, run());
    return fastest;
}

double milliseconds_of(const std::function<void()>& work)
{
    const std::chrono::steady_clock::time_point start =
        std::chrono::steady_clock::now();
    work();
    return std::chrono::duration<double, std::milli>(
               std::chrono::steady_clock::now() - start)
        .count();
}

void put(fleet_replicas& replicas, const std::string& text, row_version version)
{
    table_replica& replica = replicas.replica(fleet_table::configuration);
    const table_changes changes{{{"op/config", text, version}}, {}, version};
    if (replica.as_of().version == 0)
        replica.replace(changes);
    else
        replica.apply(changes);
}

/** Applies what a relay has sent, as a follower does. */
void apply(fleet_replicas& host, const std::string& message,
           configuration_text& former,
           std::shared_ptr<const route_table>& table)
{
    const platform::fleet_rows rows;
    table_update update = std::move(decode_updates(message).value().front());
    host.restore_rows(update).value();
    table_changes changed = host.replica(fleet_table::configuration)
                                .apply(std::move(update.changes));
    table = std::make_shared<const route_table>(
        rows.read_configuration(std::move(changed.rows.front().value), former)
            .value(),
        table.get());
}

void measure(std::size_t count)
{
    std::mt19937_64 random(count);
    std::vector<std::string> routes;
    for (std::size_t index = 0; index < count; ++index)
        routes.push_back(route_text(random));
    const std::string first = configuration_text_of(routes, 1);
    routes[count / 2] = route_text(random);
    const std::string second = configuration_text_of(routes, 2);
    const platform::fleet_rows rows;

    const double whole = fastest_ms(
        [&]
        {
            return milliseconds_of(
                [&] {
                    const route_table table(
                        rows.read_configuration(first).value());
                });
        });

    std::string message;
    double encoding = 0;
    const double change = fastest_ms(
        [&]
        {
            fleet_replicas relay([](const table_row&) { return 0; });
            fleet_replicas host([](const table_row&) { return 0; });
            put(relay, first, 10);
            put(host, first, 10);
            put(relay, second, 20);
            encoding = milliseconds_of(
                [&]
                {
                    message = encode_updates(relay.compressed_changes_since(
                        {store_position{0, 10}, {}, {}}, time_point()));
                });
            configuration_text former;
            std::shared_ptr<const route_table> table =
                std::make_shared<const route_table>(
                    rows.read_configuration(first, former).value());
            return milliseconds_of([&]
                                   { apply(host, message, former, table); });
        });

    const route_table table(rows.read_configuration(second).value());
    constexpr std::size_t lookups = 20000;
    std::vector<std::string> paths;
    for (std::size_t index = 0; index < lookups; ++index)
        paths.push_back(table.configuration().routes[random() % count]->prefix +
                        "2f");
    std::size_t found = 0;
    const double lookup = fastest_ms(
        [&]
        {
            return milliseconds_of(
                [&]
                {
                    for (const std::string& path : paths)
                        found += table.find("shop.example", path) != nullptr;
                });
        });
    std::printf("%6zu routes, %8zu bytes: whole %.2f ms; one changed route: "
                "%zu bytes, sender %.2f ms, host %.3f ms; find %.2f us (%s)\n",
                count, first.size(), whole, message.size(), encoding, change,
                lookup * 1000 / lookups,
                found % lookups == 0 ? "all found" : "NOT ALL FOUND");
}

} // namespace

int main(int argc, char** argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    for (const std::size_t count : {48, 1448, 4048, 10000})
        measure(count);
    return 0;
}
