#ifndef HIBISCUSFERRY_AUTHORITY_LEASE_PROCESS_IDENTITY_HPP
#define HIBISCUSFERRY_AUTHORITY_LEASE_PROCESS_IDENTITY_HPP

#include <algorithm>
#include <string>
#include <vector>

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
