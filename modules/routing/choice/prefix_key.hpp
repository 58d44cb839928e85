#ifndef HIBISCUSFERRY_ROUTING_CHOICE_PREFIX_KEY_HPP
#define HIBISCUSFERRY_ROUTING_CHOICE_PREFIX_KEY_HPP

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace hibiscusferry
{

/** The key of a prompt's prefix for affinity, 0 for none: a hash of its first
    bytes, about one piece of KV cache. Shorter prompts are hashed whole. */
std::uint64_t prefix_key(std::string_view prompt);

/** Bytes that prefix_key() looks at: 2,048 tokens of about four bytes. */
constexpr std::size_t prefix_key_bytes = 8192;

/** Tokens in a piece of KV cache, the unit of its hand-over. */
constexpr std::size_t kv_block_tokens = 2048;

} // namespace hibiscusferry

#endif
