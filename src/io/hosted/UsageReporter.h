#pragma once

#include "io/Signal.h"
#include "io/hosted/ServerRunListener.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <endiveroad/HostedSettings.h>
#include <endiveroad/UsageCounter.h>
#include <endiveroad_types.h>
#include <string>
#include <vector>

/// Counts the requests of organisations at an entry and sends the counts to coordinators.
namespace endiveroad::io {

namespace asio = boost::asio;

wire::UsageNotice toWire(const std::string& entry, int64_t incarnation, const UsageWindows&);

/// What a UsageReporter needs of its entry.
class UsagePeers {
public:
    virtual ~UsagePeers() = default;

    /// Names of the connected coordinators that have not announced that they leave.
    virtual std::vector<std::string> coordinators() const = 0;
    virtual void sendUsage(const std::string& coordinator, const wire::UsageNotice&) = 0;
};

class UsageReporter : public ServerRunListener {
public:
    static constexpr Duration sendInterval = std::chrono::milliseconds(500);

    /// Takes the length of a window.
    UsageReporter(asio::io_context&, std::string name, int64_t incarnation, Duration window, UsagePeers&);

    void onCallAnswered(const RouteDeclaration&, const ReplicaRequest&, Instant sentAt) override;
    void onBegun(const ReplicaRequest&, Instant beganAt) override;

    void onHolder(const wire::DutyHolderNotice&);

    /// A coordinator connected, and may lack what was sent to it before.
    void onCoordinatorUp(const std::string& coordinator);

    /// Sends changed counts until the end of the process; never returns.
    asio::awaitable<void> run();

    /// Sends what has changed to the holder of the duties and to the coordinator that follows it by name, so that the
    /// loss of either loses no counts.
    void send();

private:
    /// The coordinators that get the counts. While no holder is known, the first two by name: the first will acquire
    /// the duties.
    std::vector<std::string> receivers() const;

    std::string name_;
    int64_t incarnation_;
    UsagePeers& peers_;
    UsageCounter counter_;
    StartEstimate startEstimate_;
    Signal changed_;
    std::string holder_;
    int64_t holderToken_ = 0;
    std::vector<std::string> lastReceivers_;
};

} // namespace endiveroad::io
