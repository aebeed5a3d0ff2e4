"""Relays that stand for the network between the machines of a deployment, so that single links can be cut.

A relay in front of a coordinator tells its callers apart by the name in the first message of each connection. A cut
link is silent: connections stay open or open anew, and no byte passes.
"""
import asyncio
import re

NAME = re.compile(rb"(?:entry|agent|coordinator)-\d+")


class Link:
    """One relay. is_cut(caller) says whether the bytes of the caller's connections are dropped at present."""

    def __init__(self, target_host, target_port, is_cut):
        self.target = (target_host, target_port)
        self.is_cut = is_cut

    async def start(self, host, port=0):
        server = await asyncio.start_server(self._session, host, port)
        return server.sockets[0].getsockname()[1]

    async def _session(self, reader, writer):
        upstream = None
        try:
            first = await reader.read(65536)
            found = NAME.search(first)
            caller = found.group().decode() if found else ""
            lost = [False]
            upstream_reader, upstream = await asyncio.open_connection(*self.target)
            await self._pass(first, upstream, caller, lost)
            await asyncio.gather(self._pump(reader, upstream, caller, lost),
                                 self._pump(upstream_reader, writer, caller, lost))
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            writer.close()
            if upstream:
                upstream.close()

    async def _pass(self, data, writer, caller, lost):
        # After a lost byte nothing more can pass on a connection.
        lost[0] = lost[0] or self.is_cut(caller)
        if not lost[0]:
            writer.write(data)
            await writer.drain()

    async def _pump(self, reader, writer, caller, lost):
        while True:
            data = await reader.read(65536)
            if not data:
                break
            await self._pass(data, writer, caller, lost)
        if not lost[0]:
            writer.close()


class CuttableCoordinators:
    """Puts relays before the coordinators of a deployment that is not started yet, and before the store for each."""

    def __init__(self, deployment):
        self.cut_off = set()
        platform = deployment.platform
        own = deployment.port + 100
        for machine in deployment.coordinators:
            machine.settings["InternalPorts"] = "%d,%d" % (own, own + 15)
            platform.run(self._relay_peers(deployment, machine, own))
            port = platform.run(self._relay_store(deployment, machine))
            machine.settings["Platform.Address"] = "%s:%d" % (machine.address, port)

    async def _relay_peers(self, deployment, machine, own):
        """Others reach the coordinator at the port at which they expect it; it listens at one of its own."""
        def is_cut(caller):
            return caller.startswith("coordinator") and bool({caller, machine.name} & self.cut_off)
        await Link(machine.address, own, is_cut).start(machine.address, deployment.port)
        written = "%s:%d" % (machine.address, own)
        deployment.platform.store.translations[written] = "%s:%d" % (machine.address, deployment.port)

    async def _relay_store(self, deployment, machine):
        platform = deployment.platform
        link = Link(deployment.prefix + ".1", platform.store_port, lambda _: machine.name in self.cut_off)
        return await link.start(machine.address)
