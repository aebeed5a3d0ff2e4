#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

/// Shared keys by which processes and operators prove to each other that they belong to the deployment.
namespace endiveroad::io {

/// Secret of at least minBytes bytes. It never appears in a log line or message.
class SharedKey {
public:
    static constexpr size_t minBytes = 32;

    /// Reads hexadecimal digits. Throws KeyFileInvalidError.
    static SharedKey fromHex(std::string_view);

    /// HMAC-SHA256 under this key.
    std::string sign(std::string_view message) const;

    /// True if the signature is this key's, compared in constant time.
    bool isSignatureOf(std::string_view message, std::string_view signature) const;

    auto operator<=>(const SharedKey&) const = default;

private:
    explicit SharedKey(std::string secret)
        : secret_(std::move(secret))
    {
    }

    std::string secret_;
};

/// The valid keys: the first one proves this process, each of them proves a peer.
class AccessKeys {
public:
    static constexpr size_t maxKeys = 2;

    explicit AccessKeys(std::vector<SharedKey>);

    /// Reads a key file: one key a line in hexadecimal digits; empty lines and lines that begin with # are left out.
    /// Throws FileUnreadableError, or KeyFileInvalidError if others than owner and group may read it.
    static AccessKeys read(const std::string& path);

    const SharedKey& own() const { return keys_.front(); }
    const std::vector<SharedKey>& all() const { return keys_; }
    bool contains(const SharedKey&) const;

    auto operator<=>(const AccessKeys&) const = default;

private:
    std::vector<SharedKey> keys_;
};

} // namespace endiveroad::io
