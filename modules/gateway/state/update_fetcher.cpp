#include "gateway/state/update_fetcher.hpp"

#include <algorithm>

namespace hibiscusferry
{

namespace
{

/** A shorter silence is common on a busy host. */
constexpr std::chrono::milliseconds min_silence{200};
constexpr std::chrono::milliseconds max_transfer_time{30000};
constexpr std::size_t max_response_bytes = 8U << 20;

constexpr std::array<const char*, fleet_table_count> position_parameters{
    "configuration", "targets", "hosts"};

/** Its presence states that the host restores compressed rows. */
const std::string compression_parameter = "compressed";

/** Encodes a position as "ERA.VERSION". */
std::string encode_position(const store_position& position)
{
    return std::to_string(position.era) + "." +
           std::to_string(position.version);
}

/** Decodes the form that encode_position() produces. Any other text yields
    version 0, which requests the whole table. */
store_position decode_position(const std::string& text)
{
    const std::size_t separator = text.find('.');
    if (separator == std::string::npos)
        return {};
    return {std::strtoull(text.c_str(), nullptr, 10),
            std::strtoull(text.c_str() + separator + 1, nullptr, 10)};
}

} // namespace

update_fetcher::update_fetcher(process_core& core, updates_handler on_updates)
    : core_(core)
    , on_updates_(std::move(on_updates))
{
}

void update_fetcher::fetch(const host_record& host,
                           const known_positions& known,
                           std::chrono::milliseconds max_silence)
{
    if (is_fetching())
        return;
    const std::chrono::milliseconds silence_limit =
        std::max(max_silence, min_silence);
    http_request request;
    request.target = std::string(path) + "?";
    for (std::size_t index = 0; index < known.size(); ++index)
        request.target += std::string(position_parameters[index]) + "=" +
                          encode_position(known[index]) + "&";
    request.target += compression_parameter + "=1";
    progress_ = std::make_shared<transfer_progress>();
    const update_source source{"relay " + host.host, core_.now()};
    start_task(core_.context(),
               [this, request, source, silence_limit,
                endpoint = http_endpoint{host.address, host.port}](
                   boost::asio::yield_context yield)
               {
                   receive(
                       http_transfer(core_.connections(), endpoint, request,
                                     {silence_limit, silence_limit,
                                      max_transfer_time, max_response_bytes},
                                     progress_, yield),
                       source);
               });
}

void update_fetcher::receive(const result<http_response>& response,
                             update_source source)
{
    if (!response)
        return record_failure(response.error(), source);
    source.transfer_duration = progress_->duration(core_.now());
    progress_ = nullptr;
    if (response.value().status != 200)
        return;
    result<std::vector<table_update>> updates =
        decode_updates(response.value().body);
    if (!updates)
    {
        core_.journal().record(event_number::peer_news_unreadable,
                               {{"source", source.name}});
        return;
    }
    on_updates_(std::move(updates.value()), source);
}

void update_fetcher::record_failure(std::error_code problem,
                                    const update_source& source)
{
    core_.metrics()
        .counter_of("hibiscusferry_transfers_given_up_total", "from=\"host\"")
        .add();
    core_.journal().record(
        event_number::updates_given_up,
        {{"source", source.name},
         {"problem", problem.message()},
         {"elapsed_ms",
          std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(
                             core_.now() - source.asked_at)
                             .count())},
         {"received_bytes", std::to_string(received_bytes())}});
    progress_ = nullptr;
}

bool update_fetcher::is_fetching() const
{
    return progress_ != nullptr;
}

bool update_fetcher::is_receiving(std::chrono::milliseconds max_silence) const
{
    return progress_ && progress_->is_moving(core_.now(), max_silence);
}

std::size_t update_fetcher::received_bytes() const
{
    return progress_ ? progress_->received_bytes : 0;
}

bool update_fetcher::accepts_compressed_rows(const http_request& request)
{
    return !request.query(compression_parameter).empty();
}

known_positions update_fetcher::positions_of(const http_request& request)
{
    known_positions known{};
    for (std::size_t index = 0; index < known.size(); ++index)
        known[index] =
            decode_position(request.query(position_parameters[index]));
    return known;
}

} // namespace hibiscusferry
