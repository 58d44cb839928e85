#ifndef HIBISCUSFERRY_MEMBERSHIP_MESSAGES_MEMBERSHIP_MESSAGE_HPP
#define HIBISCUSFERRY_MEMBERSHIP_MESSAGES_MEMBERSHIP_MESSAGE_HPP

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace hibiscusferry
{

/** The state of a host in the local view. */
enum class member_state : std::uint8_t
{
    alive,
    suspect, ///< did not respond; can still refute the suspicion
    leaving, ///< has announced that it is stopping
    excluded ///< did not refute the suspicion before the timeout
};

/** Returns "alive", "suspect", "leaving" or "excluded". */
std::string to_text(member_state state);

/** A state update for a host, spread by gossip. The update with the greater
    incarnation takes precedence; for equal incarnations, the one whose state
    comes later in member_state. */
struct member_rumour
{
    std::string host;
    member_state state = member_state::alive;
    /** Incremented only by the host itself, to refute a suspicion. */
    std::uint32_t incarnation = 0;
};

/** A small value of another module that is attached to the messages, such as
    the digest of the active configuration. */
struct member_digest
{
    /** Identifies the value; the number is chosen by the other module. */
    std::uint8_t topic = 0;
    /** The value, of at most membership_settings::digest_bytes bytes. */
    std::string bytes;
};

/** The purpose of a message. */
enum class membership_message_kind : std::uint8_t
{
    probe,        ///< requests an acknowledgement from the receiver
    acknowledge,  ///< responds to a probe
    probe_request ///< asks the receiver to probe `subject`
};

/** A message between two entry hosts, sent over UDP or a peer connection. */
struct membership_message
{
    membership_message_kind kind = membership_message_kind::probe;
    std::string sender;
    std::uint32_t sender_incarnation = 0;
    /** Whether the sender is stopping. */
    bool sender_leaving = false;
    /** Identifies the probe that is acknowledged. */
    std::uint32_t sequence = 0;
    /** The host to be probed or, in an acknowledgement, the host that was
        probed. */
    std::string subject;
    std::vector<member_rumour> rumours;
    std::vector<member_digest> digests;
};

/** Returns the size of a message in bytes as CBOR with one-letter keys. It is
    an upper bound, used for the byte budget. */
std::size_t encoded_size(const membership_message& message);

} // namespace hibiscusferry

#endif
