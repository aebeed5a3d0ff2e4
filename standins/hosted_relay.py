"""A TCP relay on loopback whose connections can be delayed, reset, cut one way or silenced."""
import asyncio
import re

# Processes name themselves in the first message of a connection between them.
PROCESS_NAME = re.compile(rb"(?:entry|agent|coordinator)-\d+")


class Relay:
    """Stands before one server. Modes: "open", "delay", "reset", "one_way" (answers are lost, and nothing follows on a connection that lost any) and "silent" (nothing more
    passes on the connections that are open; new ones work). Besides, no byte passes either way on the connections of
    callers for whose name is_cut(name) is true; the name is empty if a caller states none."""

    DELAY_S = 0.15

    def __init__(self, target_host, target_port):
        self.target = (target_host, target_port)
        self.mode = "open"
        # Connections with a lower number have been silenced for good.
        self.silenced_below = 0
        self.count = 0
        self.writers = set()
        self.is_cut = lambda caller: False
        # Names of callers by number of the connection, and the connections that have lost bytes to a cut.
        self.callers = {}
        self.lossy = set()

    async def start(self, host, port=0):
        server = await asyncio.start_server(self._session, host, port)
        return server.sockets[0].getsockname()[1]

    def silence_open(self):
        self.silenced_below = self.count + 1

    def reset_open(self):
        for writer in list(self.writers):
            writer.transport.abort()

    async def _session(self, reader, writer):
        self.count += 1
        number = self.count
        if self.mode == "reset":
            return writer.transport.abort()
        try:
            upstream_reader, upstream = await asyncio.open_connection(*self.target)
        except OSError:
            return writer.transport.abort()
        self.writers |= {writer, upstream}
        try:
            await asyncio.gather(self._pump(reader, upstream, number, False),
                                 self._pump(upstream_reader, writer, number, True))
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers -= {writer, upstream}
            writer.close()
            upstream.close()

    async def _pump(self, reader, writer, number, is_answer):
        has_lost_bytes = False
        while True:
            data = await reader.read(65536)
            if not data:
                break
            if self.mode == "delay":
                await asyncio.sleep(self.DELAY_S)
            if number not in self.callers and not is_answer:
                found = PROCESS_NAME.search(data)
                self.callers[number] = found.group().decode() if found else ""
            # After a lost byte nothing more can pass on a connection.
            if self.is_cut(self.callers.get(number, "")):
                self.lossy.add(number)
            has_lost_bytes = has_lost_bytes or (self.mode == "one_way" and is_answer) or number in self.lossy
            if number < self.silenced_below or has_lost_bytes:
                continue
            writer.write(data)
            await writer.drain()
        writer.close()
