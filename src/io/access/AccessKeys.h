#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

/// Pre-shared keys that processes and operators of one deployment use to authenticate each other.
namespace endiveroad::io {

/// An HMAC key of at least minBytes bytes. Never written to logs or error messages.
class SharedKey {
public:
    static constexpr size_t minBytes = 32;

    /// Parses hexadecimal digits. Throws KeyFileInvalidError.
    static SharedKey fromHex(std::string_view);

    /// Returns the HMAC-SHA256 of the message under this key.
    std::string sign(std::string_view message) const;

    /// True if sign(message) equals the signature. Compares in constant time.
    bool isValidSignature(std::string_view message, std::string_view signature) const;

    auto operator<=>(const SharedKey&) const = default;

private:
    explicit SharedKey(std::string secret)
        : secret_(std::move(secret))
    {
    }

    std::string secret_;
};

/// The keys of a key file. This process signs with the first key and accepts peers that sign with any of them, so that
/// a key can be replaced while processes run.
class AccessKeys {
public:
    static constexpr size_t maxKeys = 2;

    explicit AccessKeys(std::vector<SharedKey>);

    /// Reads a key file with one key per line, in hexadecimal digits. Ignores empty lines and lines that begin with #.
    /// Throws FileUnreadableError, or KeyFileInvalidError if the content is invalid or the file gives any permission to
    /// users other than its owner and group.
    static AccessKeys read(const std::string& path);

    const SharedKey& signingKey() const { return keys_.front(); }
    const std::vector<SharedKey>& all() const { return keys_; }
    bool contains(const SharedKey&) const;

    auto operator<=>(const AccessKeys&) const = default;

private:
    std::vector<SharedKey> keys_;
};

} // namespace endiveroad::io
