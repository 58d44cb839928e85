#ifndef HIBISCUSFERRY_CLAIMS_SETTLED_WRITE_ROW_STAMP_HPP
#define HIBISCUSFERRY_CLAIMS_SETTLED_WRITE_ROW_STAMP_HPP

#include <algorithm>
#include <cstddef>
#include <string>
#include <vector>

namespace hibiscusferry
{

/** A row's value together with the ids of the writes that led to it.

    The value's first line holds the write ids, newest first; the rest is the
    payload. A writer whose answer was lost finds its id there, also when
    others have written the row since. A row with an empty payload is a
    tombstone on an absent row: it only stops late writes.
*/
struct row_stamp
{
    /** Write ids kept in a row. */
    static constexpr std::size_t kept_writes = 8;

    std::vector<std::string> write_ids;
    std::string payload;

    /** Reads a value; one without a first line is all payload. */
    static row_stamp parse(const std::string& value)
    {
        row_stamp stamp;
        const std::size_t line_end = value.find('\n');
        if (line_end == std::string::npos)
        {
            stamp.payload = value;
            return stamp;
        }
        std::size_t begin = 0;
        while (begin < line_end)
        {
            const std::size_t end = std::min(value.find(' ', begin), line_end);
            stamp.write_ids.push_back(value.substr(begin, end - begin));
            begin = end + 1;
        }
        stamp.payload = value.substr(line_end + 1);
        return stamp;
    }

    /** The value to write over `previous` (empty when the row is absent). */
    static std::string successor(const std::string& previous,
                                 const std::string& write_id,
                                 const std::string& payload)
    {
        std::string value = write_id;
        const std::vector<std::string> older = parse(previous).write_ids;
        const std::size_t kept = std::min(older.size(), kept_writes - 1);
        for (std::size_t index = 0; index < kept; ++index)
            value += " " + older[index];
        return value + "\n" + payload;
    }

    /** Whether the write of that id is part of the row's history. */
    bool contains(const std::string& write_id) const
    {
        return std::find(write_ids.begin(), write_ids.end(), write_id) !=
               write_ids.end();
    }

    /** Whether the row's present value is that of the write. */
    bool is_newest(const std::string& write_id) const
    {
        return !write_ids.empty() && write_ids.front() == write_id;
    }

    /** As contains(), of any of the writes made for an update: they have its
        id, alone or followed by '/' and more. */
    bool contains_update(const std::string& update_id) const
    {
        return std::any_of(write_ids.begin(), write_ids.end(),
                           [&update_id](const std::string& id)
                           { return is_of_update(id, update_id); });
    }

    /** As is_newest(), of any of the writes made for an update. */
    bool is_newest_update(const std::string& update_id) const
    {
        return !write_ids.empty() && is_of_update(write_ids.front(), update_id);
    }

private:
    static bool is_of_update(const std::string& write_id,
                             const std::string& update_id)
    {
        return write_id.compare(0, update_id.size(), update_id) == 0 &&
               (write_id.size() == update_id.size() ||
                write_id[update_id.size()] == '/');
    }
};

} // namespace hibiscusferry

#endif
