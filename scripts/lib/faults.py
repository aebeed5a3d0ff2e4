"""A schedule of faults by a fixed seed, and the driver that puts them into a running deployment.

The schedule depends on the seed and the deployment's names alone. A process never has two faults of its own at once,
but different processes do: every third fault brings a second one at the same moment.
"""
import heapq
import random
import signal
import sys
import threading
import time

from deployment import call

SHORT = (0.2, 1.5)  # seconds that a killed process stays away
FREEZE = (0.5, 6.0)  # seconds that a process is paused
GAP = (0.15, 0.7)  # seconds between two faults
LOAD_FAULTS = ("half", "late", "refuse", "hang")


class Fault:
    """One fault: kind, names of what it hits, start in seconds since the driver began, and how long it lasts."""

    def __init__(self, at, kind, target, lasts, detail=None):
        self.at = at
        self.kind = kind
        self.target = target
        self.lasts = lasts
        self.detail = detail

    def __str__(self):
        detail = " " + str(self.detail) if self.detail else ""
        return "%.2f s: %s %s%s for %.2f s" % (self.at, self.kind, self.target, detail, self.lasts)


def names_of(deployment):
    """Names by role: engines, services and scorers are servers, each with an agent of its own."""
    names = {"entry": sorted(deployment.entries), "engine": [], "service": [], "scorer": []}
    for pool in deployment.pools.values():
        names[pool.get("kind", "service")] += sorted(pool["replicas"])
    names["agent"] = names["engine"] + names["service"] + names["scorer"]
    return names


class Schedule:
    """The faults of one seed, in order of their start."""

    KINDS = {
        "kill-server": 4, "kill-agent": 4, "kill-vm": 2, "kill-entry": 3,
        "freeze-server": 2, "freeze-agent": 4, "freeze-entry": 3,
        "store-outage": 2, "store-slow": 1, "store-lost-answers": 2,
        "silence": 5, "load": 5, "cut-stream": 3, "cut-answer": 3, "score": 3,
    }

    def __init__(self, seed, names, seconds):
        self.random = random.Random(seed)
        self.names = names
        self.busy_until = {}
        self.faults = []
        at = 0.3
        while at < seconds:
            self._add(at)
            if self.random.random() < 0.34:
                self._add(at)
            at += self.random.uniform(*GAP)

    def _pick(self, role, at):
        free = [name for name in self.names[role] if self.busy_until.get(name, 0) <= at]
        return self.random.choice(free) if free else None

    def _add(self, at):
        kind = self.random.choices(list(self.KINDS), list(self.KINDS.values()))[0]
        action, _, role = kind.partition("-")
        lasts, detail, target = 0.0, None, "store"
        if action in ("kill", "freeze"):
            lasts = self.random.uniform(*(SHORT if action == "kill" else FREEZE))
            target = self._pick({"server": "agent", "vm": "agent"}.get(role, role), at)
        elif action == "store":
            lasts = self.random.uniform(0.5, 5.0)
            detail = {"outage": self.random.choice(("refuses", "hangs")), "slow": "%d ms" % self.random.randint(200, 1500),
                      "lost-answers": ""}[role]
            target = "store" if self.busy_until.get("store", 0) <= at else None
        elif kind == "silence":
            what = self.random.choice(("peer", "server", "entry"))
            name = self._pick("entry" if what == "entry" else "agent", at)
            target = name and "%s.%s" % (name, "peer" if what == "entry" else what)
        elif kind in ("load", "cut-stream"):
            target = self._pick("engine", at)
            detail = self.random.choice(LOAD_FAULTS) if kind == "load" else None
        elif kind == "cut-answer":
            target = self._pick("service", at)
        elif kind == "score":
            target = self._pick("scorer", at)
            detail = self.random.choice(("fewer", "crossed"))
        if target is None:
            return
        self.busy_until[target] = at + lasts + 0.1
        self.faults.append(Fault(at, kind, target, lasts, detail))


class Driver(threading.Thread):
    """Puts the faults of a schedule into the deployment, undoes each in time, and undoes all when it ends."""

    def __init__(self, deployment, schedule, is_quiet=False):
        super().__init__(daemon=True)
        self.deployment = deployment
        self.schedule = schedule
        self.is_quiet = is_quiet
        self.done = {}
        self.refused = 0
        self.should_stop = threading.Event()

    def stop(self):
        self.should_stop.set()
        self.join()

    def run(self):
        start = time.monotonic()
        steps = [(fault.at, index, fault, False) for index, fault in enumerate(self.schedule.faults)]
        heapq.heapify(steps)
        while steps:
            at, index, fault, is_undo = heapq.heappop(steps)
            self.should_stop.wait(max(0, start + at - time.monotonic()))
            if is_undo:
                self._undo(fault)
                continue
            if self.should_stop.is_set():
                continue
            if not self.is_quiet:
                print("fault at", fault, file=sys.stderr)
            if self._put_in(fault) and fault.lasts > 0:
                heapq.heappush(steps, (fault.at + fault.lasts, index, fault, True))
            self.done[fault.kind] = self.done.get(fault.kind, 0) + 1

    def _processes(self, fault):
        role = fault.kind.partition("-")[2]
        prefix = {"server": ["server-"], "vm": ["server-", ""]}.get(role, [""])
        return [self.deployment.processes[one + fault.target] for one in prefix]

    def _put_in(self, fault):
        try:
            if fault.kind.startswith("kill-"):
                for process in self._processes(fault):
                    process.kill()
            elif fault.kind.startswith("freeze-"):
                for process in self._processes(fault):
                    process.signal(signal.SIGSTOP)
            elif fault.kind == "silence":
                self.deployment.silence(fault.target)
            else:
                self._switch(*self._request(fault))
            return True
        except (OSError, ValueError):
            # A stand-in that is away or frozen cannot take the order for its fault.
            self.refused += 1
            return False

    def _undo(self, fault):
        for process in self._processes(fault) if fault.target in self.deployment.processes else []:
            if fault.kind.startswith("kill-"):
                process.start()
            elif fault.kind.startswith("freeze-"):
                process.signal(signal.SIGCONT)
        if fault.kind.startswith("store-"):
            self._switch(self.deployment.store, {"outageMs": 0, "hangs": False, "slowMs": 0, "loseAnswers": 0})

    def _request(self, fault):
        if fault.kind.startswith("store-"):
            body = {"store-outage": {"outageMs": int(fault.lasts * 1000), "hangs": fault.detail == "hangs"},
                    "store-slow": {"slowMs": int((fault.detail or "0").split()[0])},
                    "store-lost-answers": {"loseAnswers": 3}}[fault.kind]
            return self.deployment.store, body
        body = {"load": {"nextLoad": fault.detail}, "cut-stream": {"cutStreams": 1}, "cut-answer": {"cutAnswers": 1},
                "score": {"next": fault.detail}}[fault.kind]
        return self.deployment.real[fault.target + ".server"], body

    @staticmethod
    def _switch(address, body):
        call("POST", address, "/fault", body, timeout=0.5)
