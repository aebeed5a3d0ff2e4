"""Servers that refuse as the pages' example of a server that sheds does, and hand out second copies of some answers."""
import random

import hosted
from hosted_servers import Service

# Of the answers of a server that hands out wrong bytes, the share that comes twice.
COPIED_SHARE = 0.03


class CopyingService(Service):
    """A plain service. A refusal has the header of the pages' example and no other; every other answer is as ever.

    The second copy of an answer comes late: where the answer to the next request on the connection is expected.
    """

    has_copies = False
    random = random.Random(1)

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.queue = 0
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

    async def handle(self, request, connection):
        if "endiveroad-request-id" in request.headers and not self.is_for_another(request) \
                and self.running >= self.slots + self.queue:
            self.refused += 1
            return await connection.answer(503, b"", {"Endiveroad-Not-Executed": "1"})
        await super().handle(request, connection)

    def is_for_another(self, request):
        return request.headers.get("endiveroad-expect-instance", self.id) != self.id


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
