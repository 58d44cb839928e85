#ifndef HIBISCUSFERRY_OPERATIONS_TIMELINE_TIMELINE_PAGE_HPP
#define HIBISCUSFERRY_OPERATIONS_TIMELINE_TIMELINE_PAGE_HPP

#include "operations/timeline/merged_timeline.hpp"
#include <string>
#include <vector>

namespace hibiscusferry
{

/** Formats each entry as a line of text, with times in UTC. */
std::string to_text(const std::vector<timeline_entry>& entries);

/** Formats the entries as a JSON array. */
std::string to_json(const std::vector<timeline_entry>& entries);

/** Formats the entries as a self-contained HTML page: a table with a process
    column, and a filter field. */
std::string to_html(const std::vector<timeline_entry>& entries);

} // namespace hibiscusferry

#endif
