#ifndef HIBISCUSFERRY_AUTHORITY_LEASE_PROCESS_IDENTITY_HPP
#define HIBISCUSFERRY_AUTHORITY_LEASE_PROCESS_IDENTITY_HPP

#include <string>

namespace hibiscusferry
{

/** One run of one process: a restarted process is another one. */
struct process_identity
{
    /** The id of its host in the platform's list. */
    std::string host;
    /** An identifier drawn when the process started. */
    std::string incarnation;
};

inline bool operator==(const process_identity& left,
                       const process_identity& right)
{
    return left.host == right.host && left.incarnation == right.incarnation;
}

inline bool operator!=(const process_identity& left,
                       const process_identity& right)
{
    return !(left == right);
}

} // namespace hibiscusferry

#endif
