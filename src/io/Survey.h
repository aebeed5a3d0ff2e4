#pragma once

#include "io/PeerConnection.h"

#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <vector>

/// Questions of operators that one process asks of many others at once, in bounded time.
namespace endiveroad::io {

/// How far a question goes: the process that is asked, the processes of its region, or all.
enum class SurveyScope { Self, Region, All };

struct SurveyQuestion {
    MessageType type = MessageType::Status;
    SurveyScope scope = SurveyScope::All;
    TimelineQuery timeline;
    /// Asks for the metrics text in place of the state; only with scope Self.
    bool wantsMetrics = false;

    auto operator<=>(const SurveyQuestion&) const = default;

    /// The question as the argument of a TextRequest.
    std::string encode() const;

    /// Throws BadRequestError.
    static SurveyQuestion decode(MessageType, const std::string& argument);

    /// The same question with another scope.
    SurveyQuestion within(SurveyScope) const;
};

/// One process to ask. Without a connection it counts as unreachable.
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

/// Time that each asked process has; a process that passes a question on to a region gets twice as much.
inline constexpr Duration surveyTimeout = std::chrono::milliseconds(1000);

/// Asks one process, which may ask others in turn, and returns its JSON text. Throws what PeerConnection::call() does.
asio::awaitable<std::string> askPeer(PeerConnectionPtr, SurveyQuestion);

/// Asks all targets at the same time. Never throws; the answers are in the order of the targets.
asio::awaitable<std::vector<SurveyAnswer>> askPeers(std::vector<SurveyTarget>, SurveyQuestion);

/// One document out of the answers for the whole scope. Parts of one process have a "name"; those that others have
/// gathered already, as a document of this form, are taken over.
std::string combineAnswers(
    const SurveyQuestion&, const std::string& self, const std::string& selfJson, const std::vector<SurveyAnswer>&);

} // namespace endiveroad::io
