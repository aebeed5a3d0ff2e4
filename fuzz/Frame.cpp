#include "io/FrameReader.h"

#include <algorithm>
#include <cstdlib>
#include <endiveroad/Error.h>
#include <string>
#include <vector>

using namespace endiveroad;
using namespace endiveroad::io;

namespace {

/// Reads the bytes in pieces of the given size. Throws FrameInvalidError.
std::vector<ReceivedFrame> readInPieces(std::string_view bytes, size_t pieceSize)
{
    FrameReader reader;
    std::vector<ReceivedFrame> frames;
    while (!bytes.empty()) {
        const auto space = reader.prepare();
        const size_t piece = std::min({ bytes.size(), space.size(), pieceSize });
        std::copy_n(bytes.begin(), piece, space.begin());
        reader.commit(piece);
        bytes.remove_prefix(piece);
        while (auto frame = reader.next())
            frames.push_back(std::move(*frame));
    }
    return frames;
}

/// Frames with arbitrary payloads come back whole and in order, however the stream is cut.
void checkRoundTrip(std::string_view bytes, size_t pieceSize)
{
    std::vector<std::string> payloads;
    std::string stream;
    while (!bytes.empty()) {
        const size_t length = std::min<size_t>(bytes.size(), 1 + static_cast<uint8_t>(bytes.front()));
        payloads.emplace_back(bytes.substr(0, length));
        FrameHeader header;
        header.correlation = payloads.size();
        stream += encodeFrame(header, payloads.back());
        bytes.remove_prefix(length);
    }
    const auto frames = readInPieces(stream, pieceSize);
    if (frames.size() != payloads.size())
        std::abort();
    for (size_t i = 0; i < frames.size(); ++i) {
        if (frames[i].payload != payloads[i] || frames[i].header.correlation != i + 1)
            std::abort();
    }
}

} // namespace

/// Arbitrary bytes are refused or cut into frames; what encodeFrame() wrote is read back.
extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size)
{
    if (size == 0)
        return 0;
    const std::string_view bytes(reinterpret_cast<const char*>(data), size);
    const size_t pieceSize = size_t { 1 } + data[0];
    checkRoundTrip(bytes, pieceSize);
    try {
        readInPieces(bytes, pieceSize);
    } catch (const FrameInvalidError&) {
        return 0;
    }
    return 0;
}
