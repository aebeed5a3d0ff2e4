#pragma once

#include <compare>
#include <cstdint>
#include <endiveroad/Directory.h>
#include <endiveroad/Time.h>
#include <map>
#include <string>
#include <vector>

/// Memory of what answers say of backend servers that their registrations tell later, or never: that they are leaving,
/// or that another server has taken their place.
namespace endiveroad {

/// Why a start of a server gets no new work. Leaving: it said so. Replaced: another server answered at its address, so
/// it has ended.
enum class Departure { Leaving, Replaced };

/// One start of a server under its id.
struct ServerIncarnation {
    std::string id;
    /// ServerRecord::startedMs; 0 if it is not known.
    int64_t startedMs = 0;

    auto operator<=>(const ServerIncarnation&) const = default;

    static ServerIncarnation of(const ServerRecord& server) { return { server.id, server.startedMs }; }
};

/// A start of a server that gets no new work.
struct DepartedServer {
    ServerIncarnation server;
    Departure departure = Departure::Leaving;

    auto operator<=>(const DepartedServer&) const = default;
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
    bool add(const DepartedServer&, Instant now);

    /// True if this start of the server, or a later one under its id, gets no new work.
    bool contains(const ServerIncarnation&) const;

    /// Marks the servers as draining, and as replaced if they are, and forgets those that the directory knows by a
    /// later start.
    void apply(Directory&, Instant now);

    /// Ordered by id.
    std::vector<DepartedServer> all() const;

private:
    struct Record {
        int64_t startedMs = 0;
        Departure departure = Departure::Leaving;
        Instant expiry = never;
    };

    /// By server id.
    std::map<std::string, Record> records_;
};

} // namespace endiveroad
