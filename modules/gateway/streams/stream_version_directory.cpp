#include "gateway/streams/stream_version_directory.hpp"

#include <algorithm>
#include <array>
#include <random>

namespace hibiscusferry
{

namespace
{

/** The share of the timeout after which a question is sent again. */
constexpr int resend_timeout_divisor = 3;

constexpr char sent_records[] = "hibiscusferry_stream_records_sent_total";
constexpr char received_records[] =
    "hibiscusferry_stream_records_received_total";
constexpr char stored_records[] = "hibiscusferry_stream_records_stored";
constexpr char oversized_versions[] =
    "hibiscusferry_stream_versions_oversized_total";
constexpr char unreadable_messages[] =
    "hibiscusferry_stream_messages_unreadable_total";
constexpr char finds[] = "hibiscusferry_stream_version_finds_total";

/** A first number that differs between runs of a process, so that a late answer
    to the previous run is recognised. */
std::uint64_t random_number()
{
    std::random_device random;
    return (static_cast<std::uint64_t>(random()) << 32) | random();
}

} // namespace

// ========================================================================
// Questions

stream_version_directory::pending_question::pending_question(
    boost::asio::io_context& context)
    : timer(context)
{
}

bool stream_version_directory::pending_question::is_complete() const
{
    const bool have_all_answered = !answered.empty() && unanswered.empty();
    return value || have_all_answered;
}

// ========================================================================
// Service

stream_version_directory::stream_version_directory(
    process_core& core, std::string host, const peer_directory& peers,
    datagram_channel& datagrams, const stream_version_settings& settings)
    : core_(core)
    , host_(std::move(host))
    , peers_(peers)
    , datagrams_(datagrams)
    , settings_(settings)
    , versions_(settings.max_records)
    , last_number_(random_number())
{
}

result<void> stream_version_directory::start()
{
    datagrams_.add_receiver([this](std::string_view bytes,
                                   const boost::asio::ip::udp::endpoint& sender)
                            { return receive(bytes, sender); });
    return outcome::success();
}

void stream_version_directory::stop()
{
    is_stopping_ = true;
    for (const auto& [number, pending] : questions_)
        pending->timer.cancel();
}

void stream_version_directory::record(const std::string& request_id,
                                      const std::string& version,
                                      std::chrono::milliseconds lifetime)
{
    if (request_id.empty() || lifetime <= std::chrono::milliseconds(0))
        return;
    if (version.size() > max_stream_version_bytes)
    {
        core_.metrics().counter_of(oversized_versions).add();
        return;
    }
    const stream_key key = stable_hash(request_id);
    const stream_version value{version,
                               std::min<std::chrono::milliseconds>(
                                   lifetime, max_stream_record_lifetime)};
    store(key, value);
    const std::string bytes = encode_stream_message(
        {stream_version_message::kind::record, key, 0, value});
    for (const boost::asio::ip::udp::endpoint& peer :
         select_peers(key, settings_.copies))
    {
        datagrams_.send(bytes, peer);
        core_.metrics().counter_of(sent_records).add();
    }
}

std::optional<std::string>
stream_version_directory::find(const std::string& request_id,
                               std::chrono::milliseconds timeout,
                               boost::asio::yield_context yield)
{
    const auto count = [this](const char* result_label)
    {
        core_.metrics().counter_of(finds, result_label).add();
    };
    const stream_key key = stable_hash(request_id);
    const std::optional<stream_version> stored =
        versions_.find(key, core_.now());
    if (stored)
    {
        count("result=\"local\"");
        return stored->version;
    }
    if (request_id.empty() || questions_.size() >= settings_.max_questions ||
        is_stopping_)
    {
        count("result=\"not_asked\"");
        return std::nullopt;
    }

    // Shared, as the coroutine may outlive this object when the process ends.
    const std::shared_ptr<pending_question> pending =
        std::make_shared<pending_question>(core_.context());
    pending->number = ++last_number_;
    pending->key = key;
    questions_[pending->number] = pending;
    ask(*pending, timeout, yield);
    questions_.erase(pending->number);

    if (pending->value)
    {
        store(key, *pending->value);
        count("result=\"peer\"");
        return pending->value->version;
    }
    // The record itself may have arrived in the meantime.
    const std::optional<stream_version> received =
        versions_.find(key, core_.now());
    if (received)
    {
        count("result=\"local\"");
        return received->version;
    }
    count(pending->is_complete() ? "result=\"unknown\""
                                 : "result=\"timed_out\"");
    return std::nullopt;
}

// ========================================================================
// Asking

void stream_version_directory::ask(pending_question& question,
                                   std::chrono::milliseconds timeout,
                                   boost::asio::yield_context yield)
{
    const time_point deadline = core_.now() + timeout;
    send(question);
    const bool is_only_host = has_peer_list_ && question.unanswered.empty();
    if (is_only_host)
        return;
    wait(question, timeout / resend_timeout_divisor, yield);
    if (question.is_complete() || is_stopping_)
        return;
    send(question);
    wait(question,
         std::chrono::ceil<std::chrono::milliseconds>(deadline - core_.now()),
         yield);
}

void stream_version_directory::send(pending_question& question)
{
    const std::string bytes =
        encode_stream_message({stream_version_message::kind::question,
                               question.key, question.number, std::nullopt});
    for (const boost::asio::ip::udp::endpoint& peer :
         select_peers(question.key, settings_.asked_hosts))
    {
        if (question.answered.count(peer) > 0)
            continue;
        question.unanswered.insert(peer);
        datagrams_.send(bytes, peer);
    }
}

void stream_version_directory::wait(pending_question& question,
                                    std::chrono::milliseconds duration,
                                    boost::asio::yield_context yield)
{
    if (question.is_complete() || duration <= std::chrono::milliseconds(0))
        return;
    boost::system::error_code ignored;
    question.timer.expires_after(duration);
    question.timer.async_wait(yield[ignored]);
}

std::vector<boost::asio::ip::udp::endpoint>
stream_version_directory::select_peers(stream_key key, std::size_t count)
{
    update_candidates();
    std::vector<boost::asio::ip::udp::endpoint> selected;
    for (const std::string& peer : selector_.select(key, count, host_))
        selected.push_back(endpoints_[peer]);
    return selected;
}

void stream_version_directory::update_candidates()
{
    const std::uint64_t revision = peers_.revision();
    if (peers_revision_ == revision)
        return;
    peers_revision_ = revision;
    endpoints_.clear();
    std::vector<record_host_selector::candidate> candidates;
    for (const peer_host& peer : peers_.serving_hosts())
    {
        endpoints_[peer.host] = datagram_endpoint(peer.address, peer.port);
        candidates.push_back({peer.host, peer.availability_zone});
    }
    has_peer_list_ = !candidates.empty();
    selector_.set_candidates(candidates);
}

void stream_version_directory::store(stream_key key,
                                     const stream_version& value)
{
    versions_.record(key, value, core_.now());
    core_.metrics()
        .gauge_of(stored_records)
        .set(static_cast<double>(versions_.size()));
}

// ========================================================================
// Receiving

bool stream_version_directory::receive(
    std::string_view bytes, const boost::asio::ip::udp::endpoint& sender)
{
    using message_handler = void (stream_version_directory::*)(
        const stream_version_message&, const boost::asio::ip::udp::endpoint&);
    constexpr std::array<message_handler, 3> handlers{
        &stream_version_directory::handle_record,
        &stream_version_directory::handle_question,
        &stream_version_directory::handle_answer};
    if (!is_stream_version_message(bytes))
        return false;
    const result<stream_version_message> message = decode_stream_message(bytes);
    if (!message)
    {
        core_.metrics().counter_of(unreadable_messages).add();
        return true;
    }
    (this->*handlers[static_cast<std::size_t>(message.value().type)])(
        message.value(), sender);
    return true;
}

void stream_version_directory::handle_record(
    const stream_version_message& message,
    const boost::asio::ip::udp::endpoint&)
{
    store(message.key, *message.value);
    core_.metrics().counter_of(received_records).add();
}

void stream_version_directory::handle_question(
    const stream_version_message& message,
    const boost::asio::ip::udp::endpoint& sender)
{
    datagrams_.send(
        encode_stream_message({stream_version_message::kind::answer, 0,
                               message.number,
                               versions_.find(message.key, core_.now())}),
        sender);
}

void stream_version_directory::handle_answer(
    const stream_version_message& message,
    const boost::asio::ip::udp::endpoint& sender)
{
    const auto match = questions_.find(message.number);
    if (match == questions_.end())
        return;
    pending_question& pending = *match->second;
    if (pending.unanswered.erase(sender) == 0)
        return;
    pending.answered.insert(sender);
    if (message.value)
        pending.value = message.value;
    if (pending.is_complete())
        pending.timer.cancel();
}

} // namespace hibiscusferry
