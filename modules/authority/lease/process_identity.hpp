#ifndef HIBISCUSFERRY_AUTHORITY_LEASE_PROCESS_IDENTITY_HPP
#define HIBISCUSFERRY_AUTHORITY_LEASE_PROCESS_IDENTITY_HPP

#include <algorithm>
#include <string>
#include <vector>

namespace hibiscusferry
{

/** Identifies one incarnation of a process. A restarted process has a different
    identity. */
struct process_identity
{
    /** The id of the process's host in the platform's host list. */
    std::string host;
    /** A random identifier generated when the process starts. */
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

inline bool includes(const std::vector<process_identity>& processes,
                     const process_identity& process)
{
    return std::find(processes.begin(), processes.end(), process) !=
           processes.end();
}

inline void remove_process(std::vector<process_identity>& processes,
                           const process_identity& process)
{
    processes.erase(std::remove(processes.begin(), processes.end(), process),
                    processes.end());
}

} // namespace hibiscusferry

#endif
