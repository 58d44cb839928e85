#ifndef HIBISCUSFERRY_ROUTING_CHOICE_PREFIX_KEY_HPP
#define HIBISCUSFERRY_ROUTING_CHOICE_PREFIX_KEY_HPP

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace hibiscusferry
{

/** Returns the affinity key of a prompt's prefix, or 0 if there is none. The
    key is a hash of the prompt's first bytes, about one KV cache block. Shorter
    prompts are hashed completely. */
std::uint64_t prefix_key(std::string_view prompt);

/** The number of bytes hashed by prefix_key(): 2,048 tokens of about four
    bytes. */
constexpr std::size_t prefix_key_bytes = 8192;

/** The number of tokens in a KV cache block, the unit of KV transfer. */
constexpr std::size_t kv_block_tokens = 2048;

} // namespace hibiscusferry

#endif
