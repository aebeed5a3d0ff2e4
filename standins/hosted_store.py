"""Stand-in for a shared platform's metadata store: keys with revisions, transactions, watches and leases."""
import asyncio
import base64
import time


class Store:
    """State of the store, its calls over HTTP, and the faults that a test asks for."""

    def __init__(self):
        self.items = {}
        self.history = []
        self.revision = 100
        self.first_kept = 100
        self.leases = {}
        self.next_lease = 1
        self.changed = asyncio.Condition()
        self.calls = 0
        # Faults: "up", "busy" (503), "reset" or "silent"; answers lost after writes; seconds for each answer.
        self.mode = "up"
        # Kind of bytes without end with which it answers each call; sound if None.
        self.endless = None
        self.lose_answers = 0
        self.delay_s = 0.0
        self.refused_hosts = set()
        # Texts that readers see otherwise than they were written, as behind a translation of addresses.
        self.translations = {}

    # What operators, trainers and servers do; they reach the store whatever its faults.

    def put(self, key, value, lease=0, is_first=True):
        """All puts of one transaction have the same revision."""
        self.revision += 1 if is_first else 0
        made = self.items[key]["Created"] if key in self.items else self.revision
        self.items[key] = {"Key": key, "Value": value, "Revision": self.revision, "Created": made, "Lease": lease}
        self.history.append(dict(self.items[key]))
        return self.revision

    def remove(self, key):
        if self.items.pop(key, None):
            self.revision += 1
            self.history.append({"Key": key, "Revision": self.revision, "Removed": True})

    def compact(self):
        self.first_kept = self.revision

    async def announce(self):
        async with self.changed:
            self.changed.notify_all()

    async def write(self, key, text):
        self.put(key, base64.b64encode(text.encode()).decode())
        await self.announce()

    async def erase(self, key):
        self.remove(key)
        await self.announce()

    def value(self, key):
        item = self.items.get(key)
        return base64.b64decode(item["Value"]).decode() if item else None

    def keys(self, prefix):
        return sorted(key for key in self.items if key.startswith(prefix))

    async def expire_leases(self):
        while True:
            await asyncio.sleep(0.1)
            ended = [lease for lease, (_, end) in self.leases.items() if end < time.monotonic()]
            for lease in ended:
                self.end_lease(lease)
            if ended:
                await self.announce()

    def end_lease(self, lease):
        self.leases.pop(lease, None)
        for key in [key for key, item in self.items.items() if item["Lease"] == lease]:
            self.remove(key)

    # The calls.

    async def handle(self, request, connection):
        self.calls += 1
        if self.delay_s:
            await asyncio.sleep(self.delay_s)
        if self.mode == "silent":
            await asyncio.sleep(3600)
        if self.endless:
            return await connection.send_without_end(self.endless)
        if self.mode == "reset":
            return connection.cut()
        if self.mode == "busy":
            return await connection.answer(503, {})
        status, body = await self.perform(request)
        body = self.translated(body)
        if request.method == "POST" and self.lose_answers > 0:
            self.lose_answers -= 1
            return connection.cut()
        await connection.answer(status, body, {"Content-Type": "application/json"})

    def translated(self, body):
        """The answer as its reader sees it."""
        rows = body.get("Items", body.get("events", [body]))
        seen = []
        for row in rows:
            if self.translations and row.get("Key", "").startswith("endiveroad/coordinators/") and "Value" in row:
                text = base64.b64decode(row["Value"]).decode()
                for written, read in self.translations.items():
                    text = text.replace(written, read)
                row = {**row, "Value": base64.b64encode(text.encode()).decode()}
            seen.append(row)
        if "Items" in body:
            return {**body, "Items": seen}
        return {**body, "events": seen} if "events" in body else seen[0]

    async def perform(self, request):
        if request.path == "/kv-key":
            item = self.items.get(request.query["Key"])
            return (200, {**item, "AsOf": self.revision}) if item else (404, {})
        if request.path == "/kv-range":
            return self.list(request.query)
        if request.path == "/kv-watch":
            return await self.watch(request.query)
        if request.path == "/kv-txn":
            return await self.commit(request.json())
        return await self.lease(request)

    def list(self, query):
        page = 50
        keys = [key for key in self.keys(query["PathPrefix"]) if key > query.get("After", "")]
        items = [self.items[key] for key in keys[:page]]
        return 200, {"Items": items, "HasMore": len(keys) > page, "AsOf": self.revision}

    async def watch(self, query):
        after = int(query["After"])
        end = time.monotonic() + int(query["WaitMs"]) / 1000
        while True:
            if after < self.first_kept and self.first_kept > 100:
                return 410, {}
            events = [event for event in self.history
                      if event["Revision"] > after and event["Key"].startswith(query["PathPrefix"])]
            if events or time.monotonic() >= end:
                return 200, {"events": events, "AsOf": self.revision}
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), end - time.monotonic())
                except asyncio.TimeoutError:
                    pass

    async def commit(self, body):
        for row in body.get("Expected", []):
            present = self.items.get(row["Key"], {}).get("Revision", 0)
            if present != row["Revision"]:
                rows = [self.items.get(other["Key"], {"Key": other["Key"], "Revision": 0})
                        for other in body["Expected"]]
                return 412, {"Items": rows}
        if any(row.get("Lease") and row["Lease"] not in self.leases for row in body.get("Puts", [])):
            return 404, {}
        for number, row in enumerate(body.get("Puts", [])):
            assert not row["Key"].startswith(("op/", "servers/")), row
            self.put(row["Key"], row["Value"], row.get("Lease", 0), number == 0)
        for key in body.get("Deletes", []):
            self.remove(key)
        await self.announce()
        return 200, {"Revision": self.revision}

    async def lease(self, request):
        if request.path == "/kv-lease":
            lifetime = request.json()["TtlMs"]
            lease, self.next_lease = self.next_lease, self.next_lease + 1
            self.leases[lease] = (lifetime, time.monotonic() + lifetime / 1000)
            return 200, {"Lease": lease, "TtlMs": lifetime}
        lease = int(request.path.rsplit("/", 1)[1])
        if request.path.startswith("/kv-lease-end/"):
            self.end_lease(lease)
            await self.announce()
            return 200, {}
        if lease not in self.leases:
            return 404, {}
        lifetime = self.leases[lease][0]
        self.leases[lease] = (lifetime, time.monotonic() + lifetime / 1000)
        return 200, {"TtlMs": lifetime}
