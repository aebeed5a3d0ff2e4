"""A replica's bytes without end put an HTTP error answer into the middle of a caller's stream.

A replica in trouble goes on, after two sound events, with bytes that are no event; after more than 1 MB an empty line
stands among them. The caller's bytes are kept as they come.
"""
import asyncio
import os
import socket
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "lib-3"))
import deployment  # noqa: E402
from hosted import HOST, MODELS, configuration  # noqa: E402

CALLERS = 2
SOUND_EVENTS = 2
PIECE = b"x" * 16384
PIECES = 66
TIMEOUT_MS = 20000


def routes():
    made = configuration(1)["Routes"]
    stream = next(route for route in made if route["Name"] == "stream")
    return made + [{**stream, "Name": "draft", "PathPrefix": "/draft/", "Resumable": False, "TimeoutMs": TIMEOUT_MS}]


def bytes_without_end(is_troubled):
    async def answer(request, connection):
        request_id = request.headers.get("endiveroad-request-id", "")
        await connection.begin_stream({"Endiveroad-Request-Id": request_id, "Endiveroad-Weight-Versions": "1",
                                       "Endiveroad-Upstream-Stamp": "stamp-" + request_id})
        for number in range(SOUND_EVENTS):
            await connection.send_piece(b"id: %d\ndata: sound %d\n\n" % (number, number))
            await asyncio.sleep(0.02)
        if not is_troubled:
            return await connection.end_stream()
        try:
            while not connection.has_client_left():
                for _ in range(PIECES):
                    await connection.send_piece(PIECE)
                await connection.send_piece(b"\n\n")
        except ConnectionError:
            pass
        connection.cut()
    return answer


def chunks(body):
    """The chunks of a body, and what stands where the next one is due; None if that is nothing or the last chunk."""
    made = []
    while body:
        line, _, rest = body.partition(b"\r\n")
        try:
            size = int(line, 16)
        except ValueError:
            return made, body
        if size == 0:
            return made, None
        made.append(rest[:size])
        body = rest[size + 2:]
    return made, None


class Caller(threading.Thread):
    def __init__(self, made, number):
        super().__init__(daemon=True)
        self.made = made
        self.number = number
        self.received = b""

    def run(self):
        head = ("POST /draft/x HTTP/1.1\r\nHost: %s\r\nEndiveroad-Request-Id: draft-%d\r\nEndiveroad-Deadline-Ms: %d\r\n"
                "Endiveroad-Model: %s\r\nContent-Length: 6\r\n"
                "Connection: close\r\n\r\nprompt" % (HOST, self.number, TIMEOUT_MS, MODELS[0]))
        entry = self.made.entries[self.number % len(self.made.entries)]
        with socket.create_connection((entry.address, self.made.port + 1), timeout=TIMEOUT_MS / 1000 + 2) as connection:
            connection.sendall(head.encode())
            try:
                while not self.received.endswith(b"0\r\n\r\n"):
                    piece = connection.recv(65536)
                    if not piece:
                        break
                    self.received += piece
            except OSError:
                # What has come until then is judged.
                return


def case(made, record, trouble):
    # Until the entries know all replicas.
    time.sleep(2)
    for engine in made.platform.engines:
        engine.generate = bytes_without_end(trouble)
    callers = [Caller(made, number) for number in range(CALLERS)]
    for caller in callers:
        caller.start()
    for caller in callers:
        caller.join()
    is_broken = False
    for caller in callers:
        head, _, body = caller.received.partition(b"\r\n\r\n")
        pieces, foreign = chunks(body)
        record.write("caller %d: %s; %d chunks; where the next chunk is due: %r" % (
            caller.number, head.split(b"\r\n")[0].decode(), len(pieces), foreign and foreign[:200]))
        is_broken = is_broken or bool(foreign)
    return not is_broken


if __name__ == "__main__":
    deployment.run(FOLDER, case, routes=routes(), entries=2, coordinators=3, engines=2, services=2)
