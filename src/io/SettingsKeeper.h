#pragma once

#include "io/StoreClient.h"

#include <endiveroad/Settings.h>
#include <functional>
#include <memory>

/// The settings in force in this process: the highest valid revision seen from the key-value service or any peer.
namespace endiveroad::io {

/// Revision with its document, as stored and as passed between processes.
struct SettingsDocument {
    int64_t revision = 0;
    std::string writeId;
    /// The merged tree as JSON text.
    std::string tree;

    auto operator<=>(const SettingsDocument&) const = default;

    std::string encode() const;

    /// Throws SettingsInvalidError.
    static SettingsDocument decode(std::string_view);
};

class SettingsKeeper {
public:
    static constexpr std::string_view storeKey = "endiveroad/settings";
    static constexpr Duration readTimeout = std::chrono::seconds(2);
    static constexpr Duration watchLifetime = std::chrono::seconds(30);
    static constexpr Duration retryDelay = std::chrono::milliseconds(500);

    using OnChange
        = std::function<void(std::shared_ptr<const Settings> before, std::shared_ptr<const Settings> inForce)>;

    explicit SettingsKeeper(OnChange);

    /// Settings in force; null before the first.
    std::shared_ptr<const Settings> current() const { return current_; }
    int64_t revision() const { return current_ ? current_->revision : 0; }
    const std::string& encodedDocument() const { return encoded_; }

    /// Puts a document in force if its revision is higher than the present one and it is valid.
    void offer(std::string_view encoded);

    /// Follows the key-value service for ever, reading and then watching.
    asio::awaitable<void> follow(StoreClient&);

private:
    OnChange onChange_;
    std::shared_ptr<const Settings> current_;
    std::string encoded_;
};

} // namespace endiveroad::io
