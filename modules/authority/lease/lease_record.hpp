#ifndef HIBISCUSFERRY_AUTHORITY_LEASE_LEASE_RECORD_HPP
#define HIBISCUSFERRY_AUTHORITY_LEASE_LEASE_RECORD_HPP

#include "authority/lease/process_identity.hpp"
#include "foundation/foundation.hpp"
#include <chrono>
#include <cstdint>
#include <string>

namespace hibiscusferry
{

/** The value of a lease row. The row is made once and never deleted. */
struct lease_record
{
    /** Who holds the lease; an empty host when it was released. */
    process_identity holder;
    /** Grows by one with every change of holder. */
    std::uint64_t fencing_number = 0;
    /** How long the lease lasts after each renewal. */
    std::chrono::milliseconds term{0};
    /** The id of the write that made this value. */
    std::string write_id;

    /** Whether nobody holds the lease. */
    bool is_released() const;

    /** The row's value. */
    std::string text() const;

    /** Reads what text() wrote; authority_error::bad_row otherwise. */
    static result<lease_record> parse(const std::string& text);
};

/** "leases/REGION/SERVICE": written by every renewal. */
std::string lease_key(const std::string& region, const std::string& service);

/** "fences/REGION/SERVICE": written only when the holder changes. A write
    that is conditional on this row fails once its sender was replaced, and
    is not disturbed by the sender's own renewals. */
std::string fence_key(const std::string& region, const std::string& service);

} // namespace hibiscusferry

#endif
