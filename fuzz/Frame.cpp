#include "io/FrameReader.h"

#include <algorithm>
#include <cstdlib>
#include <endiveroad/Error.h>

using namespace endiveroad;
using namespace endiveroad::io;

/// Bytes that come in pieces are refused or cut into frames that encode to themselves.
extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size)
{
    FrameReader reader;
    try {
        while (size > 0) {
            const auto room = reader.room();
            const size_t piece = std::min<size_t>({ size, room.size(), size_t { 1 } + data[0] });
            std::copy(data, data + piece, room.begin());
            reader.commit(piece);
            data += piece;
            size -= piece;
            while (const auto frame = reader.next()) {
                if (frame->payload.size() != frame->header.length)
                    std::abort();
                if (encodeFrame(frame->header, frame->payload).size() != FrameHeader::size + frame->payload.size())
                    std::abort();
            }
        }
    } catch (const FrameInvalidError&) {
        return 0;
    }
    return 0;
}
