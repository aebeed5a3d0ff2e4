"""Stand-ins for the backend servers of a shared platform: engine replicas and plain services."""
import asyncio
import collections
import json
import random
import time

from hosted_http import serve

# Heartbeats that a registration outlives its server by.
MISSED_BEATS = 3
BEAT_S = 1.2

class Server:
    """What engines and plain services share: an id, a registration and a record of what ran."""

    def __init__(self, store, service, server_id, address, zone, slots):
        self.store = store
        self.service = service
        self.id = server_id
        self.address = address
        self.zone = zone
        self.slots = slots
        self.born = int(time.time() * 1000)
        self.beats = 0
        self.is_draining = False
        # Fault: seconds after each answer at which it sends a second copy on the same connection.
        self.copy_after_s = None
        # Fault: chance of an answer to come a second time, where the answer to the next request on the connection is due.
        self.late_copy_chance = 0.0
        self.random = random.Random(1)
        # Late copies by status.
        self.late_copies = collections.Counter()
        # Connections that callers have opened.
        self.connections = 0
        # Says in every answer that it is leaving, while its registration stays as it is.
        self.is_leaving = False
        # Names this limit in every answer, in requests a second from all processes together; none if None.
        self.limit = None
        # Kind of bytes without end with which it answers each request (send_without_end()); sound if None.
        self.endless = None
        # Fault: text that stands in place of the status in the answer to each request that it runs; sound if None.
        self.wrong_status = None
        # Fault: its answers lack its stamp.
        self.is_unsigned = False
        # Fault: status of an answer that it sends before each of its answers; none if None.
        self.interim_status = None
        # Time at which each request arrived, whatever became of it, with its target.
        self.arrivals = []
        # (time, request id, time left in ms) of each request with an id, None if it names no time.
        self.deadlines = []
        # (time, request id, body) of each request with an id that arrived, whatever became of it.
        self.reached = []
        # (request id, organisation, priority, whether it has an API key) as the headers of each request state them.
        self.identities = []
        # Headers of the last request with each id, names in lower case.
        self.headers_of = {}
        # (time, request id, the server that it names) of each request that named another server.
        self.misdirected = []
        # (request id, target, body) of each request that ran, in order.
        self.ran = []
        # The same with the time at which each began.
        self.ran_at = []
        self.running = 0
        # Requests that wait beyond the slots before further ones are refused as too many, and how many were.
        self.queue = 24
        self.refused = 0
        # Faults: requests of which the answer is lost, and seconds that a request takes longer.
        self.lose_answers = 0
        self.extra_s = 0.0
        self.always_fails = set()
        # Requests that can never be done, answered with 422.
        self.unprocessable = set()
        # Bodies that crash the server as soon as it begins to run them, and seconds that it is down then.
        self.crashing_bodies = set()
        self.down_s = 1.0
        # Starts again under the id that it has; its registration tells the new start with its next beat.
        self.keeps_id = False
        # Version of its software as the registration tells it; the registration has no version if None. What it runs
        # after its next start, if that is not None.
        self.software = "v1"
        self.next_software = None
        # (request id, time) of each request under which the server crashed.
        self.crashes = []
        self.starts = 0
        self.listener = None
        self.writers = set()

    async def start(self, host, port=0):
        """Listens at the host and returns the port."""
        self.listener = await serve(host, port, self.answer, self.writers)
        return self.listener.sockets[0].getsockname()[1]

    async def answer(self, request, connection):
        self.arrivals.append((time.monotonic(), request.target))
        if "endiveroad-request-id" in request.headers:
            left = request.headers.get("endiveroad-deadline-ms")
            self.deadlines.append((time.monotonic(), request.headers["endiveroad-request-id"], left and int(left)))
            self.reached.append((time.monotonic(), request.headers["endiveroad-request-id"], request.body))
            self.headers_of[request.headers["endiveroad-request-id"]] = request.headers
            self.identities.append((request.headers["endiveroad-request-id"], request.headers.get("endiveroad-tenant"),
                                    request.headers.get("endiveroad-request-priority"), "x-api-key" in request.headers))
        connection.common_headers = {"Server-Leaving": "1"} if self.is_leaving else {}
        if self.limit is not None:
            connection.common_headers["Server-Limit"] = str(self.limit)
        connection.copy_after_s = self.copy_after_s
        if self.endless:
            return await connection.send_without_end(self.endless)
        self.connections += 0 if connection.has_answered else 1
        connection.has_answered = True
        connection.send_late_copy(self.late_copies)
        if self.interim_status:
            connection.writer.write(b"HTTP/1.1 %s X\r\n\r\n" % self.interim_status.encode())
        with connection.recorded(self.random.random() < self.late_copy_chance):
            await self.handle(request, connection)

    def be_reborn(self, server_id):
        """Starts again at its address, under an id that may be the one it had; the registration tells the start."""
        self.is_leaving = False
        self.born = int(time.time() * 1000)
        self.id = server_id

    def crash(self, request_id):
        """Ends as a killed process does: its listener and connections are gone at once, its registration stays."""
        if not self.listener:
            # Another request that it had at the same time has ended it already.
            return
        self.crashes.append((request_id, time.monotonic()))
        self.end()

    def end(self):
        """Ends without a word, and starts again after down_s."""
        host, port = self.listener.sockets[0].getsockname()
        self.listener.close()
        self.listener = None
        for writer in list(self.writers):
            writer.transport.abort()
        if not self.keeps_id:
            asyncio.create_task(self.expire_registration(self.id))
        asyncio.create_task(self.start_again(host, port))

    async def expire_registration(self, server_id):
        await asyncio.sleep(MISSED_BEATS * BEAT_S)
        await self.store.erase("servers/" + server_id)

    async def start_again(self, host, port):
        await asyncio.sleep(self.down_s)
        self.starts += 1
        self.born = int(time.time() * 1000)
        if self.next_software is not None:
            self.software, self.next_software = self.next_software, None
        if not self.keeps_id:
            self.id = "%s.%d" % (self.id.split(".", 1)[0], self.starts)
        await self.start(host, port)

    def registration(self):
        registration = {"Service": self.service, "Address": self.address, "Zone": self.zone, "Slots": self.slots,
                        "State": "draining" if self.is_draining else "ready", "ColdLeftMs": 0, "Seq": self.beats,
                        "born": self.born}
        return registration if self.software is None else {**registration, "Version": self.software}

    async def beat(self):
        while True:
            self.beats += 1
            if self.store.mode == "up" and self.listener:
                await self.store.write("servers/" + self.id, json.dumps(self.registration()))
            await asyncio.sleep(BEAT_S)

    def refusal(self, request):
        expected = request.headers.get("endiveroad-expect-instance")
        if expected and expected != self.id:
            self.misdirected.append((time.monotonic(), request.headers.get("endiveroad-request-id", ""), expected))
            return 421, {"Endiveroad-Instance-Id": self.id}
        if "endiveroad-request-id" not in request.headers:
            return 400, {"Endiveroad-Not-Executed": "1"}
        if self.running >= self.slots + self.queue:
            self.refused += 1
            return 503, {"Endiveroad-Not-Executed": "1"}
        return None


class Service(Server):
    """A plain service: answers with a signature over the request's id."""

    async def handle(self, request, connection):
        refusal = self.refusal(request)
        request_id = request.headers.get("endiveroad-request-id", "")
        headers = {"Endiveroad-Request-Id": request_id}
        if refusal:
            return await connection.answer(refusal[0], b"", {**headers, **refusal[1]})
        self.ran.append((request_id, request.target, request.body))
        if request.body in self.crashing_bodies:
            return self.crash(request_id)
        self.running += 1
        try:
            await asyncio.sleep(0.01 + self.extra_s)
        finally:
            self.running -= 1
        if self.lose_answers > 0:
            self.lose_answers -= 1
            return connection.cut()
        headers["Endiveroad-Upstream-Stamp"] = stamp(request_id)
        headers["Endiveroad-Backend-Load"] = "%d,0,%d" % (self.running, self.slots)
        status = 500 if request_id in self.always_fails else 200
        await connection.answer(self.wrong_status or status, b"answer to " + request_id.encode(), headers)


class Engine(Server):
    """An engine replica: streams the events of a text that depends on the item alone."""

    EVENT_S = 0.02

    def __init__(self, store, service, server_id, address, zone, slots, models):
        super().__init__(store, service, server_id, address, zone, slots)
        self.versions = {model: 1 for model in models}
        self.orders = 0
        self.fence = 0
        self.holders = []
        self.is_busy = False
        # Faults: events after which streams are cut, and whether the replica answers at all.
        self.cut_after = None
        # Sends bytes that complete no event now and then, and nothing else.
        self.is_trickling = False
        # Seconds that an order takes to be answered.
        self.order_s = 0.0
        self.is_dark = False
        # Fault: events after which it goes on with bytes without end, made of this piece; an empty line stands among
        # them after each overlong_bytes. None for no such event.
        self.overlong_after = None
        self.overlong_piece = b"x" * 16384
        self.overlong_bytes = 1100000
        # (request id, seconds until its client had left) of each such stream.
        self.overlong_left = []
        # Each event names the version of the software that made it.
        self.names_software = False
        # Bytes without an event that it sends first in each stream.
        self.greeting = b""
        # Its state reports tell the start that they come from.
        self.reports_start = True

    async def start(self, host, port=0):
        # A replica that starts knows nothing of earlier orders.
        self.orders = 0
        self.fence = 0
        return await super().start(host, port)

    async def handle(self, request, connection):
        if self.is_dark:
            await asyncio.sleep(3600)
        if request.path == "/report":
            models = [{"Name": name, "Version": version, "Adapters": []} for name, version in self.versions.items()]
            report = {"Stage": "both", "Models": models, "Busy": self.is_busy, "Seq": self.orders, "NumWaiting": 0,
                      "NumRunning": self.running}
            return await connection.answer(200, {**report, "born": self.born} if self.reports_start else report)
        if request.path == "/order":
            return await self.order(request, connection)
        await self.generate(request, connection)

    async def order(self, request, connection):
        order = request.json()
        await asyncio.sleep(self.order_s)
        if self.versions.get(order["Model"]) == order["Version"]:
            return await connection.answer(200)
        if self.is_busy or order.get("Expected", self.orders) != self.orders:
            return await connection.answer(409)
        if order["Fence"] < self.fence:
            return await connection.answer(412)
        self.fence = order["Fence"]
        self.holders.append((order["Holder"], order["Fence"]))
        self.orders += 1
        self.is_busy = True
        asyncio.create_task(self.load(order["Model"], order["Version"]))
        await connection.answer(202)

    async def load(self, model, version):
        await asyncio.sleep(0.2)
        self.versions[model] = version
        self.is_busy = False

    async def generate(self, request, connection):
        refusal = self.refusal(request)
        item = request.headers.get("endiveroad-request-id", "")
        model = request.headers.get("endiveroad-model", "")
        headers = {"Endiveroad-Request-Id": item}
        if refusal:
            return await connection.answer(refusal[0], b"", {**headers, **refusal[1]})
        self.ran.append((item, request.target, request.body))
        self.ran_at.append((item, request.target, request.body, time.monotonic()))
        if request.body in self.crashing_bodies:
            return self.crash(item)
        if item in self.always_fails:
            await asyncio.sleep(self.extra_s)
            return await connection.answer(500, b"", headers)
        if item in self.unprocessable:
            return await connection.answer(422, b"", headers)
        if self.wrong_status:
            return await connection.answer(self.wrong_status, b"no text", {
                **headers, "Endiveroad-Upstream-Stamp": stamp(item)})
        # All tries of a caller at one stream name it, so that they get parts of one text.
        text_id = request.headers.get("x-stream", item)
        first = int(request.headers.get("last-event-id", -1)) + 1
        version = self.versions[model]
        maker = "@%s" % self.software if self.names_software else ""
        self.running += 1
        try:
            signature = {} if self.is_unsigned else {"Endiveroad-Upstream-Stamp": stamp(item)}
            await connection.begin_stream({**headers, "Endiveroad-Weight-Versions": str(version), **signature})
            if self.greeting:
                await connection.send_piece(self.greeting)
            while self.is_trickling and not connection.has_client_left():
                await connection.send_piece(b": still here\n")
                await asyncio.sleep(0.2)
            for number in range(first, event_count(text_id)):
                await asyncio.sleep(self.EVENT_S + self.extra_s)
                if connection.has_client_left():
                    return connection.cut()
                if self.cut_after is not None and number - first >= self.cut_after:
                    return connection.cut()
                if self.overlong_after is not None and number - first >= self.overlong_after:
                    return await self.send_overlong(item, connection)
                change = b""
                if self.versions[model] != version:
                    version = self.versions[model]
                    change = b"endiveroad-weight-versions: %d\n" % version
                text = event_text(text_id, number) + maker
                await connection.send_piece(change + b"id: %d\ndata: %s\n\n" % (number, text.encode()))
            await connection.end_stream()
        finally:
            self.running -= 1

    async def send_overlong(self, item, connection):
        begun = time.monotonic()
        try:
            while not connection.has_client_left():
                for _ in range(self.overlong_bytes // len(self.overlong_piece) + 1):
                    await connection.send_piece(self.overlong_piece)
                await connection.send_piece(b"\n\n")
        except ConnectionError:
            pass
        self.overlong_left.append((item, time.monotonic() - begun))
        connection.cut()


def stamp(request_id):
    return "stamp-" + request_id


def event_count(item):
    """Events of an item, from 4 to 27; the same on every replica."""
    return 4 + sum(item.encode()) % 24


def event_text(item, number):
    return "%s-%d" % (item, number)


def whole_text(item):
    return "\n".join(event_text(item, number) for number in range(event_count(item)))
