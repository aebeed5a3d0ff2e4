#pragma once

#include <cstdint>
#include <endiveroad/Timeline.h>
#include <string>
#include <string_view>

/// Frames exchanged between endiveroad processes: a header of fixed size, then a struct in Thrift's compact protocol.
namespace endiveroad::io {

enum class FrameKind : uint8_t { Request = 1, Answer = 2, Notice = 3, Heartbeat = 4, Cancel = 5, Part = 6 };

/// Type of the struct in a frame. The number of a removed type is never reused.
enum class MessageType : uint16_t {
    None = 0,
    Hello = 1,
    AgentReport = 2,
    Call = 3,
    Generate = 4,
    Held = 5,
    Release = 6,
    Load = 7,
    SettingsOffer = 8,
    SettingsRequest = 9,
    Policy = 10,
    Forward = 11,
    Drain = 12,
    Status = 13,
    Timeline = 14,
    Error = 15,
    AccessChallenge = 16,
    AccessProof = 17,
    AccessRefusal = 18,
    CancelGenerate = 19,
    SettingsAnswer = 40,
    DirectoryUpdate = 50,
    StoreCall = 51,
    BatchCall = 52,
    ItemStart = 53,
    ItemProgress = 54,
    ItemCancel = 55,
    JobOwner = 56,
    ReplicaReport = 57,
    LoadModel = 58,
    Leaving = 59,
    CrashNotice = 60,
    ServersLeaving = 61,
    LimitsHeard = 62,
    LimitsInForce = 63,
    PermitRequest = 64,
    ItemFailures = 65,
    StreamOrigins = 66,
    StreamOriginQuery = 67,
    SuccessionQuery = 68,
    Returning = 69,
    Usage = 70,
    DutyHolder = 71,
};

/// Header of a frame. On the wire: magic u16, version u8, kind u8, type u16, zero u16, length u32, budgetMs u32,
/// correlation u64, timestamp wall time u64, timestamp counter u32, echoMs u32, checksum u64, all little-endian.
struct FrameHeader {
    static constexpr size_t size = 48;
    static constexpr uint16_t magic = 0x5245;
    static constexpr uint8_t protocolVersion = 3;
    static constexpr uint32_t maxLength = 64U << 20;

    FrameKind kind = FrameKind::Notice;
    MessageType type = MessageType::None;
    uint32_t length = 0;
    /// Time left until the deadline of a request, in ms, at least 1; 0 in other frames.
    uint32_t budgetMs = 0;
    /// Number of the request that an answer, part or cancellation belongs to. In a heartbeat, the sender's clock in ms.
    uint64_t correlation = 0;
    /// The sender's hybrid clock, so that events caused by a message are ordered after the events that led to it.
    HybridTimestamp timestamp;
    /// The receiver's clock value, from its last heartbeat that reached the sender; 0 if none did. It gives the
    /// receiver an upper bound on the frame's age by its own clock alone.
    uint32_t echoMs = 0;
    /// XXH3 hash of the header's other bytes and the payload.
    uint64_t checksum = 0;

    auto operator<=>(const FrameHeader&) const = default;
};

/// Encodes a complete frame; length and checksum are computed from the payload.
std::string encodeFrame(FrameHeader, std::string_view payload);

/// Decodes a header. Throws FrameInvalidError if the magic or protocol version differs, the kind is unknown or the
/// length exceeds maxLength.
FrameHeader decodeHeader(std::string_view bytes);

/// Verifies the checksum of a received frame. Throws FrameInvalidError if it does not match.
void checkPayload(std::string_view headerBytes, std::string_view payload);

} // namespace endiveroad::io
