#ifndef HIBISCUSFERRY_SERVING_MODEL_PROMPT_INFO_HPP
#define HIBISCUSFERRY_SERVING_MODEL_PROMPT_INFO_HPP

#include <cstdint>
#include <string>
#include <vector>

namespace hibiscusferry
{

/** A part of a prompt. Requests share parts; an engine that keeps a part and
    all parts before it does not read it again. */
struct prompt_block
{
    std::string id;
    double tokens = 0;
};

/** What is known of a generation before it runs. */
struct prompt_info
{
    std::string model;
    /** In order; the last one belongs to the request or its session. */
    std::vector<prompt_block> blocks;
    double prompt_tokens = 0;
    /** Greatest number of tokens to generate. */
    double output_tokens = 0;

    /** A key for the chain of the first `count` parts. */
    std::uint64_t prefix_hash(std::size_t count) const;

    /** How many parts other requests may share: all but the last. */
    std::size_t shared_block_count() const;
};

} // namespace hibiscusferry

#endif
