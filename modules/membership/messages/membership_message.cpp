#include "membership/messages/membership_message.hpp"

#include <array>

namespace hibiscusferry
{

namespace
{

/** Returns the number of bytes of the CBOR head of a value. */
std::size_t head_size(std::uint64_t value)
{
    if (value < 24)
        return 1;
    if (value < 256)
        return 2;
    return value < 65536 ? 3 : 5;
}

std::size_t text_size(const std::string& text)
{
    return head_size(text.size()) + text.size();
}

constexpr std::size_t one_letter_key_bytes = 2;

} // namespace

std::string to_text(member_state state)
{
    static constexpr std::array<const char*, 4> names = {"alive", "suspect",
                                                         "leaving", "excluded"};
    return names.at(static_cast<std::size_t>(state));
}

std::size_t encoded_size(const membership_message& message)
{
    // A map of eight entries; the rumours and the digests are arrays of arrays.
    std::size_t size = 1 + 8 * one_letter_key_bytes + 2;
    size += text_size(message.sender) + text_size(message.subject);
    size += head_size(message.sender_incarnation) + head_size(message.sequence);
    size += head_size(message.rumours.size());
    for (const member_rumour& rumour : message.rumours)
        size += 2 + text_size(rumour.host) + head_size(rumour.incarnation);
    size += head_size(message.digests.size());
    for (const member_digest& digest : message.digests)
        size += 1 + head_size(digest.topic) + text_size(digest.bytes);
    return size;
}

} // namespace hibiscusferry
