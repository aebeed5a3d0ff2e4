#pragma once

#include <compare>
#include <cstdint>
#include <endiveroad/Directory.h>
#include <endiveroad/Time.h>
#include <map>
#include <string>
#include <vector>

/// Memory of the backend servers that said in an answer that they are leaving. Their registrations may tell it later,
/// or never.
namespace endiveroad {

/// One start of a server under its id.
struct ServerIncarnation {
    std::string id;
    /// ServerRecord::startedMs; 0 if it is not known.
    int64_t startedMs = 0;

    auto operator<=>(const ServerIncarnation&) const = default;

    static ServerIncarnation of(const ServerRecord& server) { return { server.id, server.startedMs }; }
};

/// What one process knows. A server gets no new work from the first answer that says so until it starts again; a later
/// start under the same id is not affected.
class LeavingServers {
public:
    /// Time for which a server is remembered after the directory last named this start of it.
    static constexpr Duration recordLifetime = std::chrono::minutes(10);

    /// Beyond this number, the records that expire first are forgotten.
    static constexpr size_t maxRecords = 4096;

    /// Returns whether this was not known.
    bool add(const ServerIncarnation&, Instant now);

    /// True if this start of the server, or a later one under its id, said that it is leaving.
    bool contains(const ServerIncarnation&) const;

    /// Marks the servers as draining, and forgets those that the directory knows by a later start.
    void apply(Directory&, Instant now);

    /// Ordered by id.
    std::vector<ServerIncarnation> all() const;

private:
    struct Record {
        int64_t startedMs = 0;
        Instant expiry = never;
    };

    /// By server id.
    std::map<std::string, Record> records_;
};

} // namespace endiveroad
