"""A small HTTP/1.1 server for the stand-ins of a shared platform; it shares no code with the product."""
import asyncio
import contextlib
import json
import urllib.parse


class Request:
    """A request, read whole."""

    def __init__(self, method, target, headers, body):
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body
        path, _, query = target.partition("?")
        self.path = path
        self.query = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))

    def json(self):
        return json.loads(self.body or b"{}")


class Recorder:
    """A connection's writer that keeps what is written."""

    def __init__(self, writer):
        self.writer = writer
        self.written = b""

    def write(self, data):
        self.written += data
        self.writer.write(data)

    def __getattr__(self, name):
        return getattr(self.writer, name)


class Connection:
    """The way to answer a request. A stream that is left without end_stream() is cut visibly."""

    def __init__(self, reader, writer):
        self.reader = reader
        self.writer = writer
        self.is_open = True
        # Seconds after an answer at which a second copy of it is sent; never if None.
        self.copy_after_s = None
        # Headers of every answer on this connection.
        self.common_headers = {}
        self.has_answered = False
        # An answer of which a copy is sent where the answer to the next request is due.
        self.late_copy = None

    @contextlib.contextmanager
    def recorded(self, is_recorded):
        """Keeps what is written meanwhile as the late copy, if is_recorded."""
        writer = self.writer
        if is_recorded:
            self.writer = Recorder(writer)
        try:
            yield
        finally:
            if is_recorded:
                self.late_copy = self.writer.written
                self.writer = writer

    def send_late_copy(self, counts):
        if not self.late_copy:
            return
        counts[int(self.late_copy.split(b" ", 2)[1])] += 1
        self.writer.write(self.late_copy)
        self.late_copy = None

    async def answer(self, status, body=b"", headers=None):
        if not isinstance(body, bytes):
            body = json.dumps(body).encode()
        lines = ["HTTP/1.1 %s X" % status, "Content-Length: %d" % len(body)]
        lines += ["%s: %s" % pair for pair in {**(headers or {}), **self.common_headers}.items()]
        answer = "\r\n".join(lines).encode() + b"\r\n\r\n" + body
        self.writer.write(answer)
        await self.writer.drain()
        if self.copy_after_s is not None:
            asyncio.get_running_loop().call_later(self.copy_after_s, self.send_copy, answer)

    def send_copy(self, answer):
        if not self.writer.is_closing():
            self.writer.write(answer)

    async def begin_stream(self, headers):
        lines = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream", "Transfer-Encoding: chunked"]
        lines += ["%s: %s" % pair for pair in {**headers, **self.common_headers}.items()]
        self.writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")
        await self.writer.drain()

    async def send_piece(self, piece):
        self.writer.write(b"%x\r\n%s\r\n" % (len(piece), piece))
        await self.writer.drain()

    async def end_stream(self):
        self.writer.write(b"0\r\n\r\n")
        await self.writer.drain()

    async def send_without_end(self, kind):
        """Answers with bytes that never end, until the client closes: in the head, in the body or between."""
        filler = b"x" * 65536
        head = b"HTTP/1.1 200 OK\r\n"
        chunked = head + b"Transfer-Encoding: chunked\r\n"
        events = chunked + b"Content-Type: text/event-stream\r\n"
        chunk = b"%x\r\n%s\r\n" % (len(filler), filler)
        first, rest = {
            "garbage": (b"", filler),
            "header": (head + b"X-Filler: ", filler),
            "headers": (head, b"X-Filler: x\r\n" * 4096),
            "body": (chunked + b"\r\n", chunk),
            "chunk-extension": (chunked + b"\r\n5;x=", filler),
            "trailer": (chunked + b"\r\n0\r\nX-Filler: ", filler),
            "until-close": (head + b"\r\n", filler),
            "event": (events + b"\r\n6\r\ndata: \r\n", chunk),
            "lines": (events + b"\r\n", b"%x\r\n%s\r\n" % (65536, b"data: xxxxxxxxx\n" * 4096)),
        }[kind]
        self.writer.write(first)
        try:
            while not self.has_client_left():
                self.writer.write(rest)
                await self.writer.drain()
        except ConnectionError:
            pass
        self.cut()

    def cut(self):
        """Ends the connection without an answer, or in the middle of one."""
        self.is_open = False
        self.writer.transport.abort()

    def has_client_left(self):
        return self.reader.at_eof() or self.writer.is_closing()


async def read_head(reader):
    """Lines of a head. A line ends with LF, whether or not CR stands before it (RFC 9112, section 2.2)."""
    lines = []
    while not lines or lines[-1]:
        line = await reader.readline()
        if not line.endswith(b"\n"):
            raise asyncio.IncompleteReadError(line, None)
        lines.append(line.rstrip(b"\r\n").decode("latin-1"))
    return lines[:-1]


async def read_chunked(reader):
    """A chunked body; trailers are dropped."""
    body = b""
    while True:
        size = int((await reader.readline()).split(b";")[0], 16)
        if size == 0:
            await read_head(reader)
            return body
        body += await reader.readexactly(size)
        await reader.readexactly(2)


async def read_request(reader):
    """Reads as much into a head as any server may: white space before a colon is no part of the name, the last of
    several header lines holds, and Transfer-Encoding goes before Content-Length (RFC 9112, section 6.1)."""
    first, *rest = await read_head(reader)
    method, target, _ = first.split(" ", 2)
    headers = {}
    for line in rest:
        name, separator, value = line.partition(":")
        if separator:
            headers[name.strip().lower()] = value.strip()
    if "chunked" in headers.get("transfer-encoding", ""):
        body = await read_chunked(reader)
    else:
        body = await reader.readexactly(int(headers.get("content-length", 0)))
    return Request(method, target, headers, body)


async def serve(host, port, handle, writers=None):
    """Serves handle(request, connection) and returns the server. Open connections stand in `writers`, if it is given."""

    async def session(reader, writer):
        connection = Connection(reader, writer)
        if writers is not None:
            writers.add(writer)
        try:
            while connection.is_open:
                await handle(await read_request(reader), connection)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            if writers is not None:
                writers.discard(writer)
            writer.close()

    return await asyncio.start_server(session, host, port)
