"""An HTTP error answer is written into the middle of a caller's stream when a replica sends an oversized event."""
import asyncio
import os
import socket
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "lib-2"))
import cases  # noqa: E402
from cases import hosted  # noqa: E402
from hosted_servers import Engine, stamp  # noqa: E402

REQUEST_ID = "stream-1"
PREFIX = "/plain-stream/"
TIMEOUT_MS = 60_000
EVENT_BYTES = 1_100_000


class OversizingEngine(Engine):
    """Sends one event of EVENT_BYTES in a stream that is sound otherwise, and goes on."""

    event_bytes = 4

    async def generate(self, request, connection):
        item = request.headers["endiveroad-request-id"]
        await connection.begin_stream({"Endiveroad-Request-Id": item, "Endiveroad-Weight-Versions": "1",
                                       "Endiveroad-Upstream-Stamp": stamp(item)})
        self.ran.append((item, request.target, request.body))
        for number in range(3):
            await asyncio.sleep(0.02)
            await connection.send_piece(b"id: %d\ndata: text\n\n" % number)
        await connection.send_piece(b"id: 3\ndata: %s\n\n" % (b"x" * self.event_bytes))
        await connection.send_piece(b"id: 4\ndata: text\n\n")
        await connection.end_stream()


def read_chunks(answer):
    """Splits the body of a chunked answer. Returns whether it ended and the first bytes that are no chunk."""
    body = answer.split(b"\r\n\r\n", 1)[1]
    while body:
        line, separator, rest = body.partition(b"\r\n")
        try:
            size = int(line, 16)
        except ValueError:
            return False, body
        if not separator or len(rest) < size + 2:
            return False, b""
        if size == 0:
            return True, rest[2:]
        body = rest[size + 2:]
    return False, b""


def case(deployment, record, has_trouble):
    original = hosted.configuration

    def configuration(version):
        document = original(version)
        document["Routes"].append(hosted.route("plain-stream", PREFIX, "streaming", "engines"))
        document["Routes"][-1]["TimeoutMs"] = TIMEOUT_MS
        return document

    hosted.configuration = configuration
    deployment.start()
    time.sleep(4)
    for engine in deployment.platform.engines:
        engine.event_bytes = EVENT_BYTES if has_trouble else 4
    connection = socket.create_connection((deployment.entries[0].address, deployment.port + 1), timeout=TIMEOUT_MS / 1000)
    connection.sendall(("POST %sx HTTP/1.1\r\nHost: %s\r\nEndiveroad-Request-Id: %s\r\nEndiveroad-Model: model-a\r\n"
                        "Content-Length: 1\r\nConnection: close\r\n\r\nb" % (PREFIX, hosted.HOST, REQUEST_ID)).encode())
    record("client sends the request %s" % REQUEST_ID)
    answer = b""
    while True:
        piece = connection.recv(1 << 16)
        if not piece:
            break
        answer += piece
    connection.close()
    record("runs: %s" % [(engine.id, row[0]) for engine in deployment.platform.engines for row in engine.ran])
    is_complete, foreign = read_chunks(answer)
    record("the answer begins with %r" % answer[:120])
    record("the answer has %d bytes, complete: %s, bytes that are no chunk: %r" % (len(answer), is_complete, foreign[:300]))
    if not has_trouble:
        assert is_complete, "the stream was not passed on in calm"
    return bool(foreign)


if __name__ == "__main__":
    hosted.Engine = OversizingEngine
    cases.run(FOLDER, case)
