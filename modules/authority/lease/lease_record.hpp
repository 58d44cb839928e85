#ifndef HIBISCUSFERRY_AUTHORITY_LEASE_LEASE_RECORD_HPP
#define HIBISCUSFERRY_AUTHORITY_LEASE_LEASE_RECORD_HPP

#include "authority/lease/process_identity.hpp"
#include "foundation/foundation.hpp"
#include <chrono>
#include <cstdint>
#include <string>

namespace hibiscusferry
{

/** The value of a lease row. The row is created once and never deleted. */
struct lease_record
{
    /** The lease holder; the host is empty if the lease was released. */
    process_identity holder;
    /** Incremented each time the lease changes holder. */
    std::uint64_t fencing_number = 0;
    /** The duration of the lease after each renewal. */
    std::chrono::milliseconds term{0};
    /** The id of the write that produced this value. */
    std::string write_id;
    /** Whether no process may acquire the lease any more, since another lease
        has replaced it. */
    bool is_closed = false;

    /** Returns true if no process holds the lease. */
    bool is_released() const;

    /** Serializes the record to the row's value. */
    std::string text() const;

    /** Parses a value written by text(). Fails with
        authority_error::bad_row. */
    static result<lease_record> parse(const std::string& text);
};

/** The key of the lease row, "leases/REGION/SERVICE". Every renewal writes
    it. */
std::string lease_key(const std::string& region, const std::string& service);

/** The key of the fence row, "fences/REGION/SERVICE". It is written only when
    the lease changes holder. A write that is conditional on this row fails once
    its sender has been replaced, and is not invalidated by the sender's own
    renewals. */
std::string fence_key(const std::string& region, const std::string& service);

} // namespace hibiscusferry

#endif
