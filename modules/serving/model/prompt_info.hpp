#ifndef HIBISCUSFERRY_SERVING_MODEL_PROMPT_INFO_HPP
#define HIBISCUSFERRY_SERVING_MODEL_PROMPT_INFO_HPP

#include <cstdint>
#include <string>
#include <vector>

namespace hibiscusferry
{

/** A block of a prompt. Requests share leading blocks; an engine that has a
    block and all blocks before it in its prefix cache does not prefill it
    again. */
struct prompt_block
{
    std::string id;
    double tokens = 0;
};

/** The properties of a generation that are known before it is executed. */
struct prompt_info
{
    std::string model;
    /** In prompt order; the last block is specific to the request or its
        session. */
    std::vector<prompt_block> blocks;
    double prompt_tokens = 0;
    /** Maximum number of tokens to generate. */
    double output_tokens = 0;

    /** Returns a hash of the model and the ids of the first `count` blocks. */
    std::uint64_t prefix_hash(std::size_t count) const;

    /** Returns the number of blocks that other requests may share: all but the
        last. */
    std::size_t shared_block_count() const;

    /** Returns the ids of the shared blocks for a log message. */
    std::string shared_block_ids() const;
};

} // namespace hibiscusferry

#endif
