"""Partitions of single coordinators from the store and the other coordinators; entries and agents still reach them."""
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__)))), "standins"))
from hosted_relay import Relay  # noqa: E402


class Partitions:
    """Relays before the coordinators of a deployment that has not started, and before the store for each of them."""

    def __init__(self, deployment):
        self.cut_off = set()
        # Names of coordinators that reach the other coordinators, but not the store.
        self.without_store = set()
        platform = deployment.platform
        own = deployment.port + 100
        for machine in deployment.coordinators:
            machine.settings["InternalPorts"] = "%d,%d" % (own, own + 15)
            platform.run(self._relay_peers(deployment, machine, own))
            port = platform.run(self._relay_store(deployment, machine))
            machine.settings["Platform.Address"] = "%s:%d" % (machine.address, port)

    async def _relay_peers(self, deployment, machine, own):
        if machine.name not in deployment.platform.relays:
            await deployment.platform.relay_peers(machine.name, machine.address, deployment.port, own)
        deployment.platform.relays[machine.name].is_cut = lambda caller: (
            caller.startswith("coordinator") and bool({caller, machine.name} & self.cut_off))

    async def _relay_store(self, deployment, machine):
        platform = deployment.platform
        relay = Relay(deployment.prefix + ".1", platform.store_port)
        relay.is_cut = lambda _: machine.name in self.cut_off | self.without_store
        return await relay.start(machine.address)
