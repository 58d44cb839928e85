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

/** Outcome of a call to the target as observed by the router. */
enum class target_outcome
{
    answered,
    not_run,
    broken
};

/** An application server in virtual time. It runs the calls that reach it,
    records the runs of each key, and injects every kind of call failure. */
class faulty_target
{
public:
    using completion_handler =
        std::function<void(target_outcome, stored_response)>;
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

    /** Processes a call; its outcome is passed to the handler once. */
    void call(const std::string& key, const std::string& call_id,
              const std::string& digest, completion_handler handler)
    {
        const std::uint64_t kind = is_faulty_ ? random_.below(100) : 100;
        const std::chrono::milliseconds delay = random_.between(5, 500);
        if (kind < 10) // the connection fails or the target is overloaded
        {
            end_after(delay, target_outcome::not_run, handler);
            return;
        }
        if (kind < 16) // the call runs and its response is lost
            run(key, call_id, digest);
        else if (kind < 24) // the request is delayed and runs late
            events_.after(random_.between(0, 8000), [this, key, call_id, digest]
                          { run(key, call_id, digest); });
        if (kind < 28) // in the remaining cases the request is lost in transit
        {
            end_after(delay, target_outcome::broken, handler);
            return;
        }
        events_.after(delay,
                      [this, key, call_id, digest, handler]
                      {
                          if (run(key, call_id, digest))
                              handler(target_outcome::answered,
                                      answers_.at(key));
                          else
                              handler(target_outcome::not_run, {});
                      });
    }

    /** Reports the status of a key. Once it is reported as absent, the key is
        rejected. */
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

    /** @returns the ids of the calls that ran with a key */
    std::vector<std::string> runs(const std::string& key) const
    {
        const auto position = runs_.find(key);
        return position == runs_.end() ? std::vector<std::string>()
                                       : position->second;
    }

    /** @returns the expected response to a call with a key and a body */
    static std::string answer_text(const std::string& key,
                                   const std::string& digest)
    {
        // Some bodies exceed the limit for storage in a row.
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

    void end_after(std::chrono::milliseconds delay, target_outcome end,
                   const completion_handler& handler)
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
