#include "soak/stream_reader.hpp"

#include <cstdlib>
#include <sstream>

namespace hibiscusferry::soak
{

stream_reader::stream_reader(int events, bool is_resumable)
    : events_(events)
    , is_resumable_(is_resumable)
{
}

void stream_reader::begin_response()
{
    pending_.clear();
}

std::string stream_reader::add(const std::string& bytes)
{
    pending_ += bytes;
    std::size_t end = std::string::npos;
    while ((end = pending_.find("\n\n")) != std::string::npos)
    {
        const std::string problem = add_event(pending_.substr(0, end));
        if (!problem.empty())
            return problem;
        pending_.erase(0, end + 2);
    }
    return "";
}

std::string stream_reader::add_event(const std::string& event)
{
    std::istringstream input(event);
    std::string id_field;
    std::string data_field;
    std::string version;
    std::string run;
    int number = 0;
    input >> id_field >> number >> data_field >> version >> run;
    if (!input || id_field != "id:" || data_field != "data:")
        return "unreadable event '" + event.substr(0, 80) + "'";
    const std::string text = "event " + std::to_string(number) + " of " + run +
                             " at " + version + " after " +
                             std::to_string(last_event_) + " of " + run_ +
                             " at " + version_;
    const bool is_first = last_event_ == 0;
    const bool is_other_run = !is_first && run != run_;
    if (number != last_event_ + 1 || number > events_)
        return "number: " + text;
    if (!is_first && version != version_)
        return "version: " + text;
    if (is_other_run && (!is_resumable_ || earlier_runs_.count(run) > 0))
        return "run: " + text;
    if (is_other_run)
        earlier_runs_.insert(run_);
    last_event_ = number;
    version_ = version;
    run_ = run;
    return "";
}

std::string stream_reader::end() const
{
    if (is_whole() && pending_.empty())
        return "";
    return "ended as complete after event " + std::to_string(last_event_) +
           " of " + std::to_string(events_) + ", " +
           std::to_string(pending_.size()) + " bytes more";
}

int stream_reader::events() const
{
    return events_;
}

int stream_reader::last_event() const
{
    return last_event_;
}

bool stream_reader::is_whole() const
{
    return last_event_ == events_;
}

} // namespace hibiscusferry::soak
