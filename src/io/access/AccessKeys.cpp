#include "io/access/AccessKeys.h"

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <endiveroad/Error.h>
#include <fmt/format.h>
#include <fstream>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <sys/stat.h>

namespace endiveroad::io {

namespace {

int hexDigitValue(char c)
{
    if (c >= '0' && c <= '9')
        return c - '0';
    if (c >= 'a' && c <= 'f')
        return c - 'a' + 10;
    if (c >= 'A' && c <= 'F')
        return c - 'A' + 10;
    throw KeyFileInvalidError("a key contains a character that is not a hexadecimal digit");
}

void checkPermissions(const std::string& path)
{
    struct stat fileStatus { };
    if (stat(path.c_str(), &fileStatus) != 0)
        throw FileUnreadableError(fmt::format("key file {}: {}", path, std::strerror(errno)));
    if ((fileStatus.st_mode & S_IRWXO) != 0)
        throw KeyFileInvalidError(
            fmt::format("key file {} has permissions for other users; remove them with chmod o=", path));
}

} // namespace

SharedKey SharedKey::fromHex(std::string_view text)
{
    if (text.size() % 2 != 0 || text.size() < 2 * minBytes)
        throw KeyFileInvalidError(
            fmt::format("a key must have an even number of hexadecimal digits, at least {}", 2 * minBytes));
    std::string secret;
    for (size_t i = 0; i < text.size(); i += 2)
        secret.push_back(static_cast<char>(hexDigitValue(text[i]) * 16 + hexDigitValue(text[i + 1])));
    return SharedKey(std::move(secret));
}

std::string SharedKey::sign(std::string_view message) const
{
    std::string signature(EVP_MAX_MD_SIZE, '\0');
    unsigned int length = 0;
    HMAC(EVP_sha256(), secret_.data(), static_cast<int>(secret_.size()),
        reinterpret_cast<const unsigned char*>(message.data()), message.size(),
        reinterpret_cast<unsigned char*>(signature.data()), &length);
    signature.resize(length);
    return signature;
}

bool SharedKey::isValidSignature(std::string_view message, std::string_view signature) const
{
    const std::string expected = sign(message);
    return expected.size() == signature.size()
        && CRYPTO_memcmp(expected.data(), signature.data(), expected.size()) == 0;
}

AccessKeys::AccessKeys(std::vector<SharedKey> keys)
    : keys_(std::move(keys))
{
    if (keys_.empty() || keys_.size() > maxKeys)
        throw KeyFileInvalidError(
            fmt::format("the number of keys is {}; it must be from 1 to {}", keys_.size(), maxKeys));
}

AccessKeys AccessKeys::read(const std::string& path)
{
    checkPermissions(path);
    std::ifstream stream(path);
    if (!stream)
        throw FileUnreadableError(fmt::format("key file {}: {}", path, std::strerror(errno)));
    std::vector<SharedKey> keys;
    try {
        for (std::string line; std::getline(stream, line);) {
            line.erase(line.find_last_not_of(" \t\r") + 1);
            if (!line.empty() && !line.starts_with('#'))
                keys.push_back(SharedKey::fromHex(line));
        }
        return AccessKeys(std::move(keys));
    } catch (const KeyFileInvalidError& error) {
        throw KeyFileInvalidError(fmt::format("key file {}: {}", path, error.what()));
    }
}

bool AccessKeys::contains(const SharedKey& key) const
{
    return std::find(keys_.begin(), keys_.end(), key) != keys_.end();
}

} // namespace endiveroad::io
