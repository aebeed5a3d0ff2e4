#pragma once

#include "io/access/AccessKeys.h"

#include <memory>
#include <optional>

/// Mutual challenge-response authentication with a shared key at the start of a connection. Each side sends a random
/// challenge and answers the peer's challenge with a proof: an HMAC over both challenges and the side that signs. A
/// proof is therefore invalid on any other connection (replay) and when sent back to its sender (reflection).
namespace endiveroad::io {

enum class HandshakeSide : char { Initiator = 'i', Acceptor = 'a' };

class Handshake {
public:
    static constexpr size_t challengeBytes = 32;

    /// The handshake uses these keys to its end, even if the process reloads its key file meanwhile.
    Handshake(HandshakeSide, std::shared_ptr<const AccessKeys>);

    const std::string& challenge() const { return challenge_; }

    /// Returns this side's proof for the peer's challenge. Throws AccessRefusedError if the challenge has a wrong
    /// length or is the second one.
    std::string createProof(const std::string& peerChallenge);

    /// Verifies the peer's proof. Throws AccessRefusedError if no valid key signed it, if the peer has not sent its
    /// challenge yet, or if the peer is already authenticated.
    void verifyProof(const std::string& proof);

    bool isPeerAuthenticated() const { return peerKey_.has_value(); }

    /// The key that the peer signed its proof with; empty until the proof is verified.
    const std::optional<SharedKey>& peerKey() const { return peerKey_; }

private:
    HandshakeSide side_;
    std::shared_ptr<const AccessKeys> keys_;
    std::string challenge_;
    std::string peerChallenge_;
    std::optional<SharedKey> peerKey_;
};

} // namespace endiveroad::io
