#include "foundation/events/event_journal.hpp"

#include <glog/logging.h>
#include <nlohmann/json.hpp>

namespace hibiscusferry
{

std::string event::field(std::string_view name) const
{
    for (const event_field& candidate : fields)
    {
        if (candidate.name == name)
            return candidate.value;
    }
    return {};
}

std::string event::line() const
{
    std::string text = "[" + std::to_string(static_cast<int>(number)) + "] " +
                       std::string(definition_of(number).name);
    for (const event_field& entry : fields)
        text += " " + entry.name + "=" + entry.value;
    return text;
}

std::string event::json() const
{
    nlohmann::ordered_json object;
    object["time"] = time.text();
    object["number"] = static_cast<int>(number);
    object["event"] = definition_of(number).name;
    object["severity"] = to_text(definition_of(number).severity);
    for (const event_field& entry : fields)
        object[entry.name] = entry.value;
    // Invalid UTF-8 is replaced, so that no event is lost to an encoding error.
    return object.dump(-1, ' ', false,
                       nlohmann::ordered_json::error_handler_t::replace);
}

event_journal::event_journal(const clock& source, std::size_t capacity)
    : clock_(source)
    , capacity_(capacity)
{
}

void event_journal::set_writer(log_writer& writer)
{
    writer_ = &writer;
}

void event_journal::record(event_number number, std::vector<event_field> fields)
{
    events_.push_back({timestamp(), number, std::move(fields)});
    if (events_.size() > capacity_)
    {
        events_.pop_front();
        ++dropped_;
    }

    if (writer_ != nullptr)
    {
        writer_->add(events_.back().json());
        return;
    }
    const std::string line = events_.back().line();
    switch (definition_of(number).severity)
    {
    case event_severity::info:
        LOG(INFO) << line;
        break;
    case event_severity::warning:
        LOG(WARNING) << line;
        break;
    case event_severity::alarm:
        LOG(ERROR) << line;
        break;
    }
}

hybrid_timestamp event_journal::timestamp()
{
    return logical_clock_.tick(clock_.wall_time());
}

void event_journal::observe(const hybrid_timestamp& remote)
{
    logical_clock_.observe(remote, clock_.wall_time());
}

const std::deque<event>& event_journal::events() const
{
    return events_;
}

std::size_t event_journal::dropped() const
{
    return dropped_;
}

} // namespace hibiscusferry
