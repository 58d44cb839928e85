#ifndef HIBISCUSFERRY_SHARING_USAGE_USAGE_MESSAGE_HPP
#define HIBISCUSFERRY_SHARING_USAGE_USAGE_MESSAGE_HPP

#include "sharing/usage/usage_counter.hpp"
#include <string>
#include <string_view>
#include <vector>

namespace hibiscusferry
{

/** A part of what a host has counted in one window.

    The counts are cumulative, so that a report may be lost, repeated and
    overtaken. */
struct usage_host_report
{
    std::string host;
    /** Differs for each run of the process. */
    std::uint64_t incarnation = 0;
    /** Repeated in the acknowledgement. */
    std::uint64_t number = 0;
    /** The host's own time of day. */
    fleet_time time_of_day{0};
    std::uint64_t window = 0;
    /** Whether the window has ended, so that the counts no longer grow. */
    bool is_final = false;
    /** Whether a relay has passed the report on. */
    bool is_relayed = false;
    /** Workspaces that do not fit into one message are in further parts. */
    std::uint32_t part = 0;
    std::uint32_t parts = 1;
    workspace_counts counts;
};

/** The collector's answer to a report. */
struct usage_acknowledgement
{
    std::uint64_t incarnation = 0;
    std::uint64_t number = 0;
    /** The time on which the hosts agree. */
    fleet_time agreed_time{0};
    /** Windows before this one need not be reported any more. */
    std::uint64_t first_open_window = 0;
};

/** Whether bytes are a message of this protocol. */
bool is_usage_message(std::string_view bytes);

/** Splits a report into parts that each fit into a datagram of 1,400 bytes. */
std::vector<usage_host_report> split_report(const usage_host_report& report);

std::string encode_usage_report(const usage_host_report& report);
std::string
encode_usage_acknowledgement(const usage_acknowledgement& acknowledgement);

/** @returns std::errc::bad_message if the bytes have another form */
result<usage_host_report> decode_usage_report(std::string_view bytes);
result<usage_acknowledgement>
decode_usage_acknowledgement(std::string_view bytes);

} // namespace hibiscusferry

#endif
