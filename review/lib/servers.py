"""Servers some of whose answers come twice: the second copy where the answer to the next request is expected."""
import random

import hosted
from hosted_servers import Service

# Of the answers of a server that hands out wrong bytes, the share that comes twice.
COPIED_SHARE = 0.03

# Requests that a server queues beyond its slots.
QUEUE = 1


class CopyingService(Service):
    """A plain service with a short queue: what comes beyond it is refused. Every answer repeats the request's id."""

    has_copies = False
    random = random.Random(1)

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.queue = QUEUE
        self.answers = 0
        self.copies = {"refusal": 0, "answer": 0}

    async def answer(self, request, connection):
        late = getattr(connection, "late_copy", None)
        connection.late_copy = None
        if late:
            self.copies["refusal" if late.startswith(b"HTTP/1.1 503") else "answer"] += 1
            connection.writer.write(late)
        self.answers += 1
        if self.has_copies and self.random.random() < COPIED_SHARE:
            connection.writer = Recorder(connection)
        await super().answer(request, connection)
        if isinstance(connection.writer, Recorder):
            connection.late_copy = connection.writer.written
            connection.writer = connection.writer.writer


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
