#ifndef HIBISCUSFERRY_GATEWAY_STATE_HOST_ROSTER_HPP
#define HIBISCUSFERRY_GATEWAY_STATE_HOST_ROSTER_HPP

#include "foundation/foundation.hpp"
#include "storage/storage.hpp"
#include <chrono>
#include <map>
#include <string>
#include <vector>

namespace hibiscusferry
{

/** An entry host as its row says. */
struct roster_host
{
    std::string host;
    /** Where it speaks with its peers. */
    std::string address;
    std::uint16_t port = 0;
    /** Whether it serves callers; false while it stops. */
    bool is_serving = true;

    std::string text() const;
    static result<roster_host> parse(const std::string& text);
};

/** Which entry hosts live, from the rows that each of them writes again and
    again. A host whose row stays unchanged for the time limit, on this host's
    clock, is taken for gone; no clock reading passes between hosts. */
class host_roster
{
public:
    explicit host_roster(std::chrono::milliseconds time_limit);

    void set_time_limit(std::chrono::milliseconds time_limit);

    /** All rows as of one moment. */
    void take(const std::vector<table_row>& rows, time_point now);

    /** The live hosts, by name. */
    std::vector<roster_host> live(time_point now) const;

    /** Keys of rows whose hosts have long been gone; to be deleted. */
    std::vector<table_row> forgotten(time_point now) const;

private:
    struct entry
    {
        roster_host host;
        table_row row;
        time_point changed_at;
    };

    std::chrono::milliseconds time_limit_;
    std::map<std::string, entry> entries_;
};

} // namespace hibiscusferry

#endif
