#pragma once

#include "io/PeerConnection.h"

#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <vector>

/// Queries of operators that one process sends to many others at the same time and answers in bounded time.
namespace endiveroad::io {

/// Which processes a query covers: the one that receives it, all of its region, or all.
enum class SurveyScope { Self, Region, All };

struct SurveyQuery {
    MessageType type = MessageType::Status;
    SurveyScope scope = SurveyScope::All;
    TimelineQuery timeline;
    /// Asks for the metrics text instead of the status; only with scope Self.
    bool wantsMetrics = false;

    auto operator<=>(const SurveyQuery&) const = default;

    /// Encodes the query, without its type, as the argument of a TextRequest.
    std::string encode() const;

    /// Decodes the result of encode(). Throws BadRequestError.
    static SurveyQuery decode(MessageType, const std::string& argument);

    /// The same query with another scope.
    SurveyQuery withScope(SurveyScope) const;
};

/// A process to which a query is sent. Without a connection it is reported as unreachable.
struct SurveyTarget {
    std::string name;
    std::string role;
    PeerConnectionPtr connection;
    SurveyScope scope = SurveyScope::Self;
};

struct SurveyAnswer {
    std::string name;
    std::string role;
    /// JSON text; nothing if the process did not answer in time.
    std::optional<std::string> json;

    auto operator<=>(const SurveyAnswer&) const = default;
};

/// Time in which a process must answer a query of scope Self. For scope Region it is doubled and for All tripled,
/// because the receiver forwards the query once or twice more.
inline constexpr Duration surveyTimeout = std::chrono::milliseconds(1000);

/// Sends a query to one process, which may forward it to others, and returns its answer as JSON text. Throws like
/// PeerConnection::call().
asio::awaitable<std::string> askPeer(PeerConnectionPtr, SurveyQuery);

/// Sends a query to all targets at the same time and returns their answers in the order of the targets. Never throws.
asio::awaitable<std::vector<SurveyAnswer>> askPeers(std::vector<SurveyTarget>, SurveyQuery);

/// Combines this process's own answer (self, selfJson) and the answers of others into one JSON document. An answer that
/// is itself such a combined document contributes all of its processes.
std::string combineAnswers(
    const SurveyQuery&, const std::string& self, const std::string& selfJson, const std::vector<SurveyAnswer>&);

} // namespace endiveroad::io
