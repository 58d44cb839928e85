#ifndef HIBISCUSFERRY_GATEWAY_CRASHES_PROMPT_QUARANTINE_HPP
#define HIBISCUSFERRY_GATEWAY_CRASHES_PROMPT_QUARANTINE_HPP

#include "serving/serving.hpp"
#include <chrono>

namespace hibiscusferry
{

/** How a prompt is treated in view of the crashes of targets. */
enum class prompt_treatment
{
    admitted, ///< no block is suspected
    probe,    ///< sent in order to find out whether its block crashes a target
    refused   ///< a block is suspected of crashing targets
};

/** Withholds prompts from targets that contain a block under which targets
    crashed. */
class prompt_quarantine
{
public:
    virtual ~prompt_quarantine() = default;

    /** Decides on a prompt before an attempt.
        @param time_limit  the time after which a probe counts as without
                           result */
    virtual prompt_treatment assess(const prompt_info& prompt,
                                    std::chrono::milliseconds time_limit) = 0;

    /** Reports that the connection to a target broke before the generation had
        gone on beyond its first event. Finds out whether the target crashed. */
    virtual void report_broken_generation(const target_record& target,
                                          const prompt_info& prompt,
                                          bool was_probe) = 0;

    virtual void report_completion(const prompt_info& prompt) = 0;
};

} // namespace hibiscusferry

#endif
