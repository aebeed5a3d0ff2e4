#include "io/access/Handshake.h"

#include <endiveroad/Error.h>
#include <openssl/rand.h>

namespace endiveroad::io {

namespace {

constexpr std::string_view domainSeparator = "endiveroad access 1";

std::string randomChallenge()
{
    std::string bytes(Handshake::challengeBytes, '\0');
    if (RAND_bytes(reinterpret_cast<unsigned char*>(bytes.data()), static_cast<int>(bytes.size())) != 1)
        throw AccessRefusedError("the system's random number generator failed to create a challenge");
    return bytes;
}

/// The message that the given side signs. Both challenges have a fixed length, so that no two different inputs give the
/// same message.
std::string signedMessage(HandshakeSide side, std::string_view proverChallenge, std::string_view verifierChallenge)
{
    std::string text(domainSeparator);
    text.push_back(static_cast<char>(side));
    text.append(proverChallenge);
    text.append(verifierChallenge);
    return text;
}

HandshakeSide otherSide(HandshakeSide side)
{
    return side == HandshakeSide::Initiator ? HandshakeSide::Acceptor : HandshakeSide::Initiator;
}

} // namespace

Handshake::Handshake(HandshakeSide side, std::shared_ptr<const AccessKeys> keys)
    : side_(side)
    , keys_(std::move(keys))
    , challenge_(randomChallenge())
{
}

std::string Handshake::createProof(const std::string& peerChallenge)
{
    if (peerChallenge.size() != challengeBytes || !peerChallenge_.empty())
        throw AccessRefusedError("the peer sent a second challenge or one of the wrong length");
    peerChallenge_ = peerChallenge;
    return keys_->signingKey().sign(signedMessage(side_, challenge_, peerChallenge_));
}

void Handshake::verifyProof(const std::string& proof)
{
    if (peerChallenge_.empty() || isPeerAuthenticated())
        throw AccessRefusedError("the peer sent its proof before its challenge, or a second time");
    const std::string expected = signedMessage(otherSide(side_), peerChallenge_, challenge_);
    for (const SharedKey& key : keys_->all()) {
        if (key.isValidSignature(expected, proof)) {
            peerKey_ = key;
            return;
        }
    }
    throw AccessRefusedError("the peer's proof was not signed with a valid key");
}

} // namespace endiveroad::io
