#pragma once

#include "io/access/AccessKeys.h"

#include <memory>
#include <optional>

/// Mutual proof of a shared key at the start of a connection. Each side sends a random challenge and answers the
/// other's with an HMAC over both challenges and its own side, so that a proof is worth nothing on another connection
/// or when sent back.
namespace endiveroad::io {

enum class HandshakeSide : char { Initiator = 'i', Acceptor = 'a' };

class Handshake {
public:
    static constexpr size_t challengeBytes = 32;

    /// Takes the keys as they are at the start of the connection.
    Handshake(HandshakeSide, std::shared_ptr<const AccessKeys>);

    const std::string& challenge() const { return challenge_; }

    /// Proof for the peer's challenge. Throws AccessRefusedError for a second or malformed challenge.
    std::string prove(const std::string& peerChallenge);

    /// Checks the peer's proof. Throws AccessRefusedError if it is wrong or came before its challenge.
    void check(const std::string& proof);

    bool isProven() const { return provenBy_.has_value(); }

    /// The key by which the peer proved itself.
    const std::optional<SharedKey>& provenBy() const { return provenBy_; }

private:
    HandshakeSide side_;
    std::shared_ptr<const AccessKeys> keys_;
    std::string challenge_;
    std::string peerChallenge_;
    std::optional<SharedKey> provenBy_;
};

} // namespace endiveroad::io
