#include "peers/authentication/peer_handshake.hpp"

#include "peers/message/cbor_reader.hpp"
#include "peers/message/peer_envelope.hpp"
#include <array>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

namespace hibiscusferry
{

namespace
{

constexpr std::size_t nonce_bytes = 32;
constexpr std::size_t max_id_bytes = 256;
constexpr std::size_t max_handshake_bytes = 1024;
constexpr std::size_t identity_field_count = 4;
constexpr std::size_t hello_field_count = 3 + identity_field_count;
constexpr std::size_t challenge_field_count = 4 + identity_field_count;
constexpr std::size_t proof_field_count = 3;

std::string hmac_sha256(const std::string& key, const std::string& text)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned size = 0;
    ::HMAC(::EVP_sha256(), key.data(), static_cast<int>(key.size()),
           reinterpret_cast<const unsigned char*>(text.data()), text.size(),
           digest.data(), &size);
    return {digest.begin(), digest.begin() + size};
}

bool equals_in_constant_time(const std::string& left, const std::string& right)
{
    return left.size() == right.size() &&
           ::CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

void append_identity(nlohmann::json& fields, const peer_identity& identity)
{
    fields.push_back(identity.id);
    fields.push_back(identity.incarnation);
    fields.push_back(identity.endpoint.address);
    fields.push_back(identity.endpoint.port);
}

peer_identity parse_identity(cbor_array_reader& reader)
{
    peer_identity identity;
    identity.id = reader.text();
    identity.incarnation = reader.number();
    identity.endpoint.address = reader.text();
    identity.endpoint.port = static_cast<std::uint16_t>(reader.number());
    return identity;
}

bool is_valid_identity(const peer_identity& identity)
{
    return !identity.id.empty() && identity.id.size() <= max_id_bytes;
}

/** Decodes a handshake frame and checks its version and kind.
    @returns a reader positioned at the first field after the kind */
result<cbor_array_reader> parse_step(std::string_view frame, std::size_t fields,
                                     const char* kind)
{
    if (frame.size() > max_handshake_bytes)
        return make_error_code(peers_error::malformed);
    result<cbor_array_reader> reader = cbor_array_reader::open(frame, fields);
    if (!reader)
        return reader.error();
    const std::uint64_t version = reader.value().number();
    if (reader.value().is_valid() && version != peer_protocol_version)
        return make_error_code(peers_error::version_mismatch);
    if (reader.value().text() != kind)
        return make_error_code(peers_error::malformed);
    return reader;
}

} // namespace

peer_handshake::peer_handshake(step first, peer_identity self, std::string key,
                               std::string nonce)
    : step_(first)
    , is_opener_(first == step::wait_for_challenge)
    , self_(std::move(self))
    , key_(std::move(key))
    , nonce_(std::move(nonce))
{
}

peer_handshake peer_handshake::opener(peer_identity self, std::string key,
                                      std::string nonce)
{
    return {step::wait_for_challenge, std::move(self), std::move(key),
            std::move(nonce)};
}

peer_handshake peer_handshake::acceptor(peer_identity self, std::string key,
                                        std::string nonce)
{
    return {step::wait_for_hello, std::move(self), std::move(key),
            std::move(nonce)};
}

std::string peer_handshake::hello() const
{
    nlohmann::json fields = nlohmann::json::array(
        {peer_protocol_version, "hello", cbor_bytes(nonce_)});
    append_identity(fields, self_);
    return encode_cbor(fields);
}

result<std::string> peer_handshake::receive(std::string_view frame)
{
    switch (step_)
    {
    case step::wait_for_hello:
        return receive_hello(frame);
    case step::wait_for_challenge:
        return receive_challenge(frame);
    case step::wait_for_proof:
        return receive_proof(frame);
    case step::authenticated:
        break;
    }
    return make_error_code(peers_error::malformed);
}

bool peer_handshake::is_authenticated() const
{
    return step_ == step::authenticated;
}

const peer_identity& peer_handshake::remote() const
{
    return remote_;
}

result<std::string> peer_handshake::receive_hello(std::string_view frame)
{
    result<cbor_array_reader> parsed_step =
        parse_step(frame, hello_field_count, "hello");
    if (!parsed_step)
        return parsed_step.error();
    cbor_array_reader& reader = parsed_step.value();
    remote_nonce_ = reader.bytes();
    remote_ = parse_identity(reader);
    const bool is_valid = reader.is_valid() &&
                          remote_nonce_.size() == nonce_bytes &&
                          is_valid_identity(remote_);
    if (!is_valid)
        return make_error_code(peers_error::malformed);

    step_ = step::wait_for_proof;
    nlohmann::json fields =
        nlohmann::json::array({peer_protocol_version, "challenge",
                               cbor_bytes(nonce_), cbor_bytes(proof(false))});
    append_identity(fields, self_);
    return encode_cbor(fields);
}

result<std::string> peer_handshake::receive_challenge(std::string_view frame)
{
    result<cbor_array_reader> parsed_step =
        parse_step(frame, challenge_field_count, "challenge");
    if (!parsed_step)
        return parsed_step.error();
    cbor_array_reader& reader = parsed_step.value();
    remote_nonce_ = reader.bytes();
    const std::string received_proof = reader.bytes();
    remote_ = parse_identity(reader);
    const bool is_valid = reader.is_valid() &&
                          remote_nonce_.size() == nonce_bytes &&
                          is_valid_identity(remote_);
    if (!is_valid)
        return make_error_code(peers_error::malformed);
    if (!equals_in_constant_time(received_proof, proof(false)))
        return make_error_code(peers_error::not_authenticated);

    step_ = step::authenticated;
    return encode_cbor(nlohmann::json::array(
        {peer_protocol_version, "proof", cbor_bytes(proof(true))}));
}

result<std::string> peer_handshake::receive_proof(std::string_view frame)
{
    result<cbor_array_reader> parsed_step =
        parse_step(frame, proof_field_count, "proof");
    if (!parsed_step)
        return parsed_step.error();
    const std::string received_proof = parsed_step.value().bytes();
    if (!parsed_step.value().is_valid())
        return make_error_code(peers_error::malformed);
    if (!equals_in_constant_time(received_proof, proof(true)))
        return make_error_code(peers_error::not_authenticated);
    step_ = step::authenticated;
    return std::string();
}

std::string peer_handshake::proof(bool is_opener_proof) const
{
    const peer_identity& opener = is_opener_ ? self_ : remote_;
    const peer_identity& acceptor = is_opener_ ? remote_ : self_;
    nlohmann::json fields = nlohmann::json::array(
        {peer_protocol_version, is_opener_proof ? "opener" : "acceptor",
         cbor_bytes(is_opener_ ? nonce_ : remote_nonce_),
         cbor_bytes(is_opener_ ? remote_nonce_ : nonce_)});
    append_identity(fields, opener);
    append_identity(fields, acceptor);
    return hmac_sha256(key_, encode_cbor(fields));
}

std::string random_bytes(std::size_t count)
{
    std::string bytes(count, '\0');
    const int status =
        ::RAND_bytes(reinterpret_cast<unsigned char*>(bytes.data()),
                     static_cast<int>(count));
    // Without entropy no connection may be made.
    if (status != 1)
        std::abort();
    return bytes;
}

} // namespace hibiscusferry
