#include "gateway/crashes/request_fingerprint.hpp"

#define XXH_INLINE_ALL
#include <string_view>
#include <xxhash.h>

namespace hibiscusferry
{

namespace
{

/** Combines a hash with the next part of the input. The length keeps parts
    apart that would be the same when joined. */
std::uint64_t add_part(std::uint64_t hash, std::string_view part)
{
    return XXH3_64bits_withSeed(part.data(), part.size(),
                                hash + part.size() + 1);
}

} // namespace

std::uint64_t fingerprint_of(const gateway_request& request)
{
    std::uint64_t hash = 0;
    for (const std::string_view part :
         {std::string_view(request.caller),
          std::string_view(request.message.method),
          std::string_view(request.host),
          std::string_view(request.message.target),
          std::string_view(request.message.body)})
        hash = add_part(hash, part);
    if (!request.prompt)
        return hash;
    hash = add_part(hash, request.prompt->model);
    for (const prompt_block& block : request.prompt->blocks)
        hash = add_part(hash, block.id);
    return hash;
}

} // namespace hibiscusferry
