#pragma once

#include <cstdint>
#include <endiveroad/Timeline.h>
#include <string>
#include <string_view>

/// Frames between endiveroad processes: a fixed header, then a Thrift compact struct.
namespace endiveroad::io {

enum class FrameKind : uint8_t { Request = 1, Answer = 2, Notice = 3, Heartbeat = 4, Cancel = 5, Part = 6 };

/// Type of the struct in a frame. Numbers are never reused.
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
};

/// Header of a frame. On the wire: magic u16, version u8, kind u8, type u16, zero u16, length u32, budgetMs u32,
/// correlation u64, stamp wall time u64, stamp counter u32, echoMs u32, checksum u64, all little-endian.
struct FrameHeader {
    static constexpr size_t size = 48;
    static constexpr uint16_t magic = 0x5245;
    static constexpr uint8_t protocolVersion = 3;
    static constexpr uint32_t maxLength = 64U << 20;

    FrameKind kind = FrameKind::Notice;
    MessageType type = MessageType::None;
    uint32_t length = 0;
    /// Time left until the deadline of a request, in ms; 0 means none.
    uint32_t budgetMs = 0;
    /// Matches answers, parts and cancellations with their request; a heartbeat carries the sender's clock in ms.
    uint64_t correlation = 0;
    /// The sender's hybrid clock, so that what a message causes is ordered after what caused it.
    HybridTimestamp stamp;
    /// Clock of the last heartbeat that the sender had from the receiver, so that the receiver can tell, on its own
    /// clock alone, that the frame was sent later than that. 0 if there was none.
    uint32_t echoMs = 0;
    /// XXH3 over the header's other bytes and the payload.
    uint64_t checksum = 0;

    auto operator<=>(const FrameHeader&) const = default;
};

/// Whole frame as bytes.
std::string encodeFrame(FrameHeader, std::string_view payload);

/// Reads a header. Throws FrameInvalidError for another magic or version, an unknown kind or an excessive length.
FrameHeader decodeHeader(std::string_view bytes);

/// Checks the payload against the header as received. Throws FrameInvalidError.
void checkPayload(std::string_view headerBytes, std::string_view payload);

} // namespace endiveroad::io
