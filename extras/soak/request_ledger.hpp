#ifndef HIBISCUSFERRY_EXTRAS_SOAK_REQUEST_LEDGER_HPP
#define HIBISCUSFERRY_EXTRAS_SOAK_REQUEST_LEDGER_HPP

#include "soak/traffic.hpp"

#include "deployment.hpp"
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace hibiscusferry::soak
{

/** A rule that was broken. */
struct violation
{
    std::string rule;
    std::string request;
    std::string text;
    std::int64_t at_ms = 0;
};

/** The accounts of callers and targets of every request.

    Judges REFUSED and TWICE as soon as either account completes the picture.
    The other rules are judged by callers, who report here. Thread-safe.
*/
class request_ledger
{
public:
    explicit request_ledger(review::event_record& record);

    /** A caller sends a request with a new id. */
    void sent(const std::string& id, const request_type& type,
              const std::string& details);
    /** A caller has the head of a response. */
    void answered(const std::string& id, int status);
    /** The outcome of a request at its caller, for the totals. */
    void finished(const std::string& id, const std::string& outcome);
    /** A target begins to work on a request.
        @param run  the target, its incarnation and the number of the run */
    void began_to_run(const std::string& id, const std::string& run);
    /** A target's account of something else than a run. */
    void note(const std::string& id, const std::string& text);

    void report(const std::string& rule, const std::string& id,
                const std::string& text);
    std::vector<violation> violations();
    /** The number of requests by route and outcome. */
    std::map<std::string, int> totals();
    int count(const std::string& outcome);

private:
    struct entry
    {
        const request_type* type = nullptr;
        std::vector<std::string> runs;
        int refusal = 0;
    };

    void report_locked(const std::string& rule, const std::string& id,
                       const std::string& text);

    review::event_record& record_;
    std::mutex mutex_;
    std::map<std::string, entry> entries_;
    std::map<std::string, int> totals_;
    std::map<std::string, int> outcomes_;
    std::vector<violation> violations_;
};

} // namespace hibiscusferry::soak

#endif
