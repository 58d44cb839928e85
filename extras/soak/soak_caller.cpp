#include "soak/soak_caller.hpp"

#include <cstdio>
#include <thread>

namespace hibiscusferry::soak
{

using review::milliseconds;
using review::steady_clock;

namespace
{

constexpr int max_resumptions = 3;
constexpr milliseconds connect_timeout{1000};
/** How long a caller waits beyond its deadline. */
constexpr milliseconds extra_patience{800};

} // namespace

soak_caller::soak_caller(std::uint64_t seed, int number,
                         const std::vector<std::unique_ptr<soak_host>>& hosts,
                         request_ledger& ledger, const fault_set& faults,
                         bool sends_prompts)
    : number_(number)
    , hosts_(hosts)
    , ledger_(ledger)
    , faults_(faults)
    , sends_prompts_(sends_prompts)
    , random_(seed, "caller " + std::to_string(number))
    , seed_(seed)
{
}

void soak_caller::run(const std::atomic<bool>& is_over)
{
    while (!is_over)
    {
        ask();
        std::this_thread::sleep_for(
            random_.between(milliseconds(10), milliseconds(250)));
    }
    channels_.clear();
}

void soak_caller::ask()
{
    const request_type& type = request_types()[static_cast<std::size_t>(
        random_.between(0, static_cast<int>(request_types().size()) - 1))];
    if (faults_.has("framing") && random_.chance(0.03))
        send_hidden_request(type);
    else if (type.is_stream)
        ask_for_stream(type);
    else
        exchange(make_request(type), nullptr);
}

void soak_caller::ask_for_stream(const request_type& type)
{
    stream_reader stream(random_.between(4, 24), type.is_resumable);
    std::string first_id;
    for (int attempt = 0; attempt <= max_resumptions; ++attempt)
    {
        request current = make_request(type);
        if (stream.last_event() > 0)
        {
            current.resumption =
                "Resumes: " + first_id +
                "\r\nLast-Event-Id: " + std::to_string(stream.last_event()) +
                "\r\n";
            current.leaves_early = false;
        }
        else
            first_id = current.id;
        current.fields +=
            "X-Soak-Events: " + std::to_string(stream.events()) + "\r\n";
        const std::string outcome = exchange(current, &stream);
        const bool may_resume = type.is_resumable && !stream.is_whole() &&
                                stream.last_event() > 0 && outcome != "left";
        if (!may_resume)
            return;
        std::this_thread::sleep_for(
            random_.between(milliseconds(0), milliseconds(600)));
    }
}

void soak_caller::send_hidden_request(const request_type& type)
{
    constexpr milliseconds timeout{3000};
    const std::vector<std::string> framings{
        "Transfer-Encoding: gzip",
        "Transfer-Encoding: identity",
        "Transfer-Encoding: chunked, gzip",
        "Transfer-Encoding: gzip, chunked",
        "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked",
        "Transfer-Encoding: gzip\r\nContent-Length: 0",
        "Content-Length: 0\r\nTransfer-Encoding: chunked",
        "Content-Length: 0\r\nContent-Length: 12"};
    const std::string& framing = framings[static_cast<std::size_t>(
        random_.between(0, static_cast<int>(framings.size()) - 1))];
    const request outer = make_request(type);
    const auto head = [&](const std::string& id, const std::string& fields)
    {
        return "POST " + std::string(type.prefix) +
               "2f HTTP/1.1\r\nHost: " + route_host() +
               "\r\nX-Request-Id: " + id + "\r\nX-Deadline-Ms: 1000\r\n" +
               fields + "\r\n\r\n";
    };
    const std::unique_ptr<review::connection> peer = review::connection::open(
        outer.host->address(), outer.host->port(), connect_timeout);
    if (!peer || !peer->write(head(outer.id + "-outer", framing) +
                              head(outer.id + "-inner", "Content-Length: 0")))
        return;
    response_reader reader(*peer);
    const steady_clock::time_point deadline = steady_clock::now() + timeout;
    const std::optional<review::message_head> refusal =
        reader.read_head(deadline);
    std::string body;
    if (!reader.problem().empty())
        ledger_.report("MIXED", outer.id, reader.problem());
    if (!refusal)
        return;
    if (refusal->status() < 400)
        ledger_.report("MIXED", outer.id,
                       std::to_string(refusal->status()) + " for " + framing);
    response_reader::progress progress = response_reader::progress::data;
    while (progress == response_reader::progress::data)
        progress = reader.read_some(body, deadline);
    if (reader.read_head(deadline))
        ledger_.report("MIXED", outer.id, "a second answer for " + framing);
}

soak_caller::request soak_caller::make_request(const request_type& type)
{
    request current;
    char id[40];
    std::snprintf(id, sizeof id, "%llx-%02d-%06d",
                  static_cast<unsigned long long>(seed_), number_, ++requests_);
    current.id = id;
    current.type = &type;
    current.host = hosts_[static_cast<std::size_t>(random_.between(
                              0, static_cast<int>(hosts_.size()) - 1))]
                       .get();
    current.response_bytes = static_cast<std::size_t>(
        random_.chance(0.1) ? random_.between(1000, 200000)
                            : random_.between(100, 1000));
    current.time_left =
        milliseconds(random_.between(type.timeout_ms / 4, type.timeout_ms));
    current.leaves_early = faults_.has("leave") && random_.chance(0.04);
    if (sends_prompts_ && type.is_stream)
        current.fields += "X-Model: m\r\nX-Token-Count: 2000,40\r\n"
                          "X-Prompt-Prefix: " +
                          std::to_string(random_.between(1, 6)) + ":1500," +
                          std::to_string(random_.between(1000, 999999)) +
                          ":500\r\n";
    return current;
}

std::string soak_caller::message(const request& current)
{
    // The largest do not fit into the buffers of the kernel.
    const bool is_large = faults_.has("large") && random_.chance(0.03);
    const int size = is_large              ? random_.between(3500000, 4100000)
                     : random_.chance(0.1) ? random_.between(1000, 120000)
                                           : random_.between(0, 600);
    const std::string body(static_cast<std::size_t>(size), 'b');
    const bool is_chunked = !body.empty() && random_.chance(0.2);
    char chunk_size[24];
    std::snprintf(chunk_size, sizeof chunk_size, "%zx\r\n", body.size());
    return "POST " + std::string(current.type->prefix) +
           "2f HTTP/1.1\r\nHost: " + route_host() +
           "\r\nX-Request-Id: " + current.id +
           "\r\nX-Deadline-Ms: " + std::to_string(current.time_left.count()) +
           "\r\nX-Soak-Bytes: " + std::to_string(current.response_bytes) +
           "\r\n" + current.fields + current.resumption +
           (is_chunked ? "Transfer-Encoding: chunked\r\n\r\n" +
                             (chunk_size + body) + "\r\n0\r\n\r\n"
                       : "Content-Length: " + std::to_string(body.size()) +
                             "\r\n\r\n" + body);
}

soak_caller::channel* soak_caller::connect(const request& current)
{
    channel& kept = channels_[current.host->name()];
    const bool is_reused =
        kept.peer && !kept.peer->is_closed_by_peer() && random_.chance(0.8);
    if (!is_reused)
    {
        kept.peer = review::connection::open(
            current.host->address(), current.host->port(), connect_timeout);
        if (!kept.peer)
            return nullptr;
        kept.reader = std::make_unique<response_reader>(*kept.peer);
    }
    ledger_.sent(
        current.id, *current.type,
        "to " + current.host->name() +
            (is_reused ? " on a kept connection " : " ") +
            std::to_string(current.time_left.count()) + " ms " +
            current.resumption.substr(0, current.resumption.find('\r')));
    return &kept;
}

std::string soak_caller::exchange(const request& planned, stream_reader* stream)
{
    request current = planned;
    channel* const kept = connect(current);
    if (kept == nullptr)
    {
        std::this_thread::sleep_for(milliseconds(50));
        return "not connected";
    }
    current.gives_up_at =
        steady_clock::now() +
        (current.leaves_early
             ? random_.between(milliseconds(0), milliseconds(1000))
             : current.time_left + extra_patience);
    bool stays_open = false;
    std::string outcome = "cut";
    if (kept->peer->write(message(current)))
        outcome = read_response(current, *kept->reader, stream, stays_open);
    if (!stays_open)
        channels_.erase(current.host->name());
    ledger_.finished(current.id, outcome);
    return outcome;
}

std::string soak_caller::read_response(const request& current,
                                       response_reader& reader,
                                       stream_reader* stream, bool& stays_open)
{
    const std::optional<review::message_head> head =
        reader.read_head(current.gives_up_at);
    if (!head)
        return unfinished(current, reader,
                          reader.is_ended()
                              ? response_reader::progress::broken
                              : response_reader::progress::timed_out);
    ledger_.answered(current.id, head->status());
    const std::string id = head->value("X-Request-Id");
    if (!id.empty() && id != current.id)
        ledger_.report("MIXED", current.id, "response to " + id);
    const bool is_success = head->status() == 200;
    const std::string signature = head->value("X-Response-Signature");
    if (is_success && signature.rfind(current.id + ".", 0) != 0)
        ledger_.report("MIXED", current.id,
                       "signature '" + signature + "' on a success");
    const std::string outcome = is_success && stream != nullptr
                                    ? read_stream(current, reader, *stream)
                                    : read_body(current, *head, reader);
    stays_open = outcome != "cut" && outcome != "left" && outcome != "late" &&
                 head->value("Connection") != "close" && !reader.is_ended();
    return outcome;
}

std::string soak_caller::read_body(const request& current,
                                   const review::message_head& head,
                                   response_reader& reader)
{
    std::string body;
    response_reader::progress progress = response_reader::progress::data;
    while (progress == response_reader::progress::data)
        progress = reader.read_some(body, current.gives_up_at);
    if (progress != response_reader::progress::complete)
        return unfinished(current, reader, progress);
    const int status = head.status();
    if (status != 200)
        return status == 503 || status == 429 || status == 421 || status == 408
                   ? "refused"
                   : "failed";
    const std::string signature = head.value("X-Response-Signature");
    const std::string run =
        signature.substr(std::min(current.id.size() + 1, signature.size()));
    const std::string start = current.id + " " + run + " ";
    if (body.size() != std::max(current.response_bytes, start.size()) ||
        body.rfind(start, 0) != 0)
        ledger_.report("MIXED", current.id,
                       std::to_string(body.size()) + " of " +
                           std::to_string(current.response_bytes) +
                           " bytes, '" + body.substr(0, 60) + "' signed '" +
                           signature + "'");
    return "served";
}

std::string soak_caller::read_stream(const request& current,
                                     response_reader& reader,
                                     stream_reader& stream)
{
    stream.begin_response();
    for (;;)
    {
        std::string bytes;
        const response_reader::progress progress =
            reader.read_some(bytes, current.gives_up_at);
        std::string problem = stream.add(bytes);
        if (problem.empty() && progress == response_reader::progress::complete)
            problem = stream.end();
        if (!problem.empty())
        {
            ledger_.report("ORDER", current.id, problem);
            return "cut";
        }
        if (progress == response_reader::progress::complete)
            return current.resumption.empty() ? "served" : "resumed";
        if (progress != response_reader::progress::data)
            return unfinished(current, reader, progress);
    }
}

std::string soak_caller::unfinished(const request& current,
                                    const response_reader& reader,
                                    response_reader::progress progress)
{
    if (!reader.problem().empty())
        ledger_.report("MIXED", current.id, reader.problem());
    if (progress == response_reader::progress::broken)
        return "cut";
    return current.leaves_early ? "left" : "late";
}

} // namespace hibiscusferry::soak
