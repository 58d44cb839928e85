#ifndef HIBISCUSFERRY_CLAIMS_TESTING_FAULTY_TARGET_HPP
#define HIBISCUSFERRY_CLAIMS_TESTING_FAULTY_TARGET_HPP

#include "claims/claims.hpp"
#include "claims/testing/event_queue.hpp"
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace hibiscusferry::testing
{

/** How a call to the target ends, as its router sees it. */
enum class target_end
{
    answered,
    not_run,
    broken
};

/** An application server in virtual time that runs what reaches it, counts
    the runs of each key, and fails in every way a call can fail. */
class faulty_target
{
public:
    using end_handler = std::function<void(target_end, stored_response)>;
    using status_handler = std::function<void(call_status, stored_response)>;

    faulty_target(event_queue& events, random_source& random)
        : events_(events)
        , random_(random)
    {
    }

    void set_faulty(bool is_faulty)
    {
        is_faulty_ = is_faulty;
    }

    /** Takes a call; the handler hears its end once. */
    void call(const std::string& key, const std::string& call_id,
              const std::string& digest, end_handler handler)
    {
        const std::uint64_t kind = is_faulty_ ? random_.below(100) : 100;
        const std::chrono::milliseconds delay = random_.between(5, 500);
        if (kind < 10) // no connection, or the target is full
        {
            end_after(delay, target_end::not_run, handler);
            return;
        }
        if (kind < 16) // ran, the answer is lost
            run(key, call_id, digest);
        else if (kind < 24) // the request is held up and runs late
            events_.after(random_.between(0, 8000), [this, key, call_id, digest]
                          { run(key, call_id, digest); });
        if (kind < 28) // ... or is lost on the way
        {
            end_after(delay, target_end::broken, handler);
            return;
        }
        events_.after(delay,
                      [this, key, call_id, digest, handler]
                      {
                          if (run(key, call_id, digest))
                              handler(target_end::answered, answers_.at(key));
                          else
                              handler(target_end::not_run, {});
                      });
    }

    /** The status look-up: absent bars the key. */
    void status(const std::string& key, status_handler handler)
    {
        events_.after(random_.between(2, 100),
                      [this, key, handler = std::move(handler)]
                      {
                          if (is_faulty_ && random_.chance(30))
                              handler(call_status::no_answer, {});
                          else if (runs_.count(key) != 0)
                              handler(call_status::done, answers_.at(key));
                          else if (is_faulty_ && random_.chance(20))
                              handler(call_status::running, {});
                          else
                          {
                              barred_.insert(key);
                              handler(call_status::absent, {});
                          }
                      });
    }

    /** The ids of the calls that ran with a key. */
    std::vector<std::string> runs(const std::string& key) const
    {
        const auto found = runs_.find(key);
        return found == runs_.end() ? std::vector<std::string>()
                                    : found->second;
    }

    /** The answer that a call with a key and a body must give. */
    static std::string answer_text(const std::string& key,
                                   const std::string& digest)
    {
        // Some are too large for a row.
        const std::size_t padding =
            stable_hash(key) % 4 == 0 ? stored_response::inline_body_limit : 0;
        return "ran " + key + " " + digest + std::string(padding, '.');
    }

private:
    bool run(const std::string& key, const std::string& call_id,
             const std::string& digest)
    {
        if (barred_.count(key) != 0)
            return false;
        runs_[key].push_back(call_id);
        stored_response answer;
        answer.status = 200;
        answer.body = answer_text(key, digest);
        answers_[key] = answer;
        return true;
    }

    void end_after(std::chrono::milliseconds delay, target_end end,
                   const end_handler& handler)
    {
        events_.after(delay, [handler, end] { handler(end, {}); });
    }

    event_queue& events_;
    random_source& random_;
    bool is_faulty_ = true;
    std::map<std::string, std::vector<std::string>> runs_;
    std::map<std::string, stored_response> answers_;
    std::set<std::string> barred_;
};

} // namespace hibiscusferry::testing

#endif
