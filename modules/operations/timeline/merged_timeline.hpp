#ifndef HIBISCUSFERRY_OPERATIONS_TIMELINE_MERGED_TIMELINE_HPP
#define HIBISCUSFERRY_OPERATIONS_TIMELINE_MERGED_TIMELINE_HPP

#include "foundation/foundation.hpp"
#include <string>
#include <vector>

namespace hibiscusferry
{

/** An event recorded by one process. */
struct timeline_entry
{
    hybrid_timestamp time;
    std::string process;
    int number = 0;
    std::string name;
    std::string severity;
    std::vector<event_field> fields;

    /** Returns the value of a field, or an empty string. */
    std::string field(const std::string& field_name) const;
};

/** Selects entries by the values of their fields; an empty string matches
    any value. */
struct timeline_filter
{
    std::string request;
    std::string service;
    std::string target;
    std::string order;
};

/** The events of many processes in the order of the hybrid logical clock. */
class merged_timeline
{
public:
    /** Adds the /timeline page of a process.
        @returns false when the page cannot be parsed */
    bool add_page(const std::string& page);

    /** Returns all entries that match the filter, oldest first. */
    std::vector<timeline_entry> entries(const timeline_filter& filter) const;

    /** The number of events that the processes dropped because their journals
        were full. */
    std::size_t dropped() const;

private:
    std::vector<timeline_entry> entries_;
    std::size_t dropped_ = 0;
};

} // namespace hibiscusferry

#endif
