"""Servers some of whose answers come twice: the second copy where the answer to the next request is expected."""
import asyncio
import random

import hosted
from hosted_servers import Service, stamp

# Chance of an answer of a server that hands out wrong bytes to come twice; the pages allow 0.03 of them.
COPIED_SHARE = 0.026

# Requests that a server queues beyond its slots.
QUEUE = 1


class CopyingService(Service):
    """A plain service: it runs as many requests as it has slots, queues a few and refuses the rest.

    Every answer repeats the request's id.
    """

    has_copies = False
    random = random.Random(1)

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.queue = QUEUE
        self.turns = None
        self.answers = 0
        self.copies = {"refusal": 0, "answer": 0}
        # Answers given while second copies may come.
        self.answers_in_spans = 0

    async def answer(self, request, connection):
        late = getattr(connection, "late_copy", None)
        connection.late_copy = None
        if late and self.has_copies:
            self.copies["refusal" if late.startswith(b"HTTP/1.1 503") else "answer"] += 1
            connection.writer.write(late)
        self.answers += 1
        self.answers_in_spans += self.has_copies
        if self.has_copies and self.random.random() < COPIED_SHARE:
            connection.writer = Recorder(connection)
        await super().answer(request, connection)
        if isinstance(connection.writer, Recorder):
            connection.late_copy = connection.writer.written
            connection.writer = connection.writer.writer

    async def handle(self, request, connection):
        refusal = self.refusal(request)
        request_id = request.headers.get("endiveroad-request-id", "")
        headers = {"Endiveroad-Request-Id": request_id}
        if refusal:
            return await connection.answer(refusal[0], b"", {**headers, **refusal[1]})
        self.turns = self.turns or asyncio.Semaphore(self.slots)
        self.running += 1
        try:
            async with self.turns:
                if connection.has_client_left():
                    return connection.cut()
                self.ran.append((request_id, request.target, request.body))
                await asyncio.sleep(self.extra_s)
        finally:
            self.running -= 1
        await connection.answer(200, b"answer to " + request_id.encode(), {
            **headers, "Endiveroad-Upstream-Stamp": stamp(request_id)})


class Recorder:
    """A connection's writer that remembers what is written."""

    def __init__(self, connection):
        self.writer = connection.writer
        self.written = b""

    def write(self, data):
        self.written += data
        self.writer.write(data)

    def __getattr__(self, name):
        return getattr(self.writer, name)


def install():
    hosted.Service = CopyingService
