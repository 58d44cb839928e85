#ifndef HIBISCUSFERRY_MEMBERSHIP_MESSAGES_MEMBERSHIP_MESSAGE_HPP
#define HIBISCUSFERRY_MEMBERSHIP_MESSAGES_MEMBERSHIP_MESSAGE_HPP

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace hibiscusferry
{

/** What a host is thought to be. */
enum class member_state : std::uint8_t
{
    alive,
    suspect, ///< did not answer; may still refute it
    leaving, ///< says of itself that it is stopping
    excluded ///< did not answer nor refute in time
};

/** "alive", "suspect", "leaving" or "excluded". */
std::string to_text(member_state state);

/** A piece of news on a host. Of two, the one with the greater incarnation
    holds; with the same one, the later state in member_state. */
struct member_rumour
{
    std::string host;
    member_state state = member_state::alive;
    /** Raised only by the host itself, to refute a suspicion. */
    std::uint32_t incarnation = 0;
};

/** A small value of another module that spreads with the messages, such as
    the digest of the configuration in force. */
struct member_digest
{
    /** Which value it is; a number that its module has chosen. */
    std::uint8_t topic = 0;
    /** At most membership_settings::digest_bytes. */
    std::string bytes;
};

/** What a message is for. */
enum class membership_message_kind : std::uint8_t
{
    probe,        ///< asks the receiver to acknowledge
    acknowledge,  ///< answers a probe
    probe_request ///< asks the receiver to probe `subject` for the sender
};

/** A message between two entry hosts, over UDP or a peer connection. */
struct membership_message
{
    membership_message_kind kind = membership_message_kind::probe;
    std::string sender;
    std::uint32_t sender_incarnation = 0;
    /** Whether the sender is stopping. */
    bool sender_leaving = false;
    /** Names the probe that is answered. */
    std::uint32_t sequence = 0;
    /** The host to probe, or that acknowledged through the sender. */
    std::string subject;
    std::vector<member_rumour> rumours;
    std::vector<member_digest> digests;
};

/** The size of a message in bytes as CBOR with one-letter keys, for the
    budget; no more than that is sent. */
std::size_t encoded_size(const membership_message& message);

} // namespace hibiscusferry

#endif
