#!/usr/bin/env python3
"""A rolling restart of every process under load: no call is cut, lost or run twice.

The callers stand behind a balancer that asks each entry for its readiness every 100 ms. A call that is not idempotent
is repeated with its key until its outcome is final; "not run" is checked against the journals of the backend servers.
"""
import argparse
import collections
import http.client
import json
import os
import random
import signal
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..", "scripts", "lib"))
from deployment import Deployment  # noqa: E402

CALLERS = 4
PAUSE = 0.02


def ask(address, method, path, body=None, headers=None, timeout=8):
    """Status and body; raises OSError or HTTPException if no whole answer came."""
    connection = http.client.HTTPConnection(*address.split(":"), timeout=timeout)
    try:
        connection.request(method, path, body=body, headers=headers or {})
        answer = connection.getresponse()
        return answer.status, answer.read().decode()
    finally:
        connection.close()


class Balancer(threading.Thread):
    """Knows which entries are ready."""

    def __init__(self, entries):
        super().__init__(daemon=True)
        self.entries = entries
        self.ready = list(entries)
        self.is_over = False

    def run(self):
        while not self.is_over:
            ready = []
            for entry in self.entries:
                try:
                    if ask(entry, "GET", "/readyz", timeout=1)[0] == 200:
                        ready.append(entry)
                except (OSError, http.client.HTTPException):
                    pass
            self.ready = ready
            time.sleep(0.1)

    def pick(self):
        return random.choice(self.ready or self.entries)


class Caller(threading.Thread):
    """Sends idempotent and keyed calls in turn and notes what it is told."""

    def __init__(self, number, pool, balancer):
        super().__init__(daemon=True)
        self.number = number
        self.pool = pool
        self.balancer = balancer
        self.is_over = False
        self.counts = collections.Counter()
        self.not_run = []
        self.unknown = []
        self.answered = []
        self.failures = []

    def run(self):
        sequence = 0
        while not self.is_over:
            sequence += 1
            self.call_idempotent(sequence)
            self.call_keyed("key-%d-%d" % (self.number, sequence))
            time.sleep(PAUSE)

    def call_idempotent(self, sequence):
        path = "/v1/services/%s/notices/%d" % (self.pool, sequence)
        entry = self.balancer.pick()
        try:
            status, text = ask(entry, "GET", path)
        except (OSError, http.client.HTTPException) as error:
            status, text = "cut", repr(error)
        self.counts["idempotent %s" % status] += 1
        if status != 200:
            self.failures.append("%.3f %s: %s" % (time.time(), entry, text))

    def call_keyed(self, key):
        created = str(int(time.time() * 1000))
        path = "/v1/services/%s/notices/%s" % (self.pool, key)
        body = json.dumps({"call": key})
        headers = {"Idempotency-Key": key, "Idempotency-Key-Created-Ms": created, "Content-Type": "application/json"}
        for _ in range(3):
            try:
                status, text = ask(self.balancer.pick(), "POST", path, body, headers)
            except (OSError, http.client.HTTPException) as error:
                self.counts["keyed cut"] += 1
                self.failures.append(repr(error))
                continue
            if status == 200:
                self.counts["keyed answered"] += 1
                self.answered.append(key)
                if json.loads(text).get("echo") != body:
                    self.counts["keyed wrong"] += 1
                return
            code = json.loads(text)["error"]["code"]
            if code == "not_run":
                self.not_run.append(key)
                self.counts["keyed not_run"] += 1
                return
            self.counts["keyed told %s" % code] += 1
            time.sleep(0.05)
        self.counts["keyed unknown"] += 1
        self.unknown.append(key)


def restart(deployment, name):
    """Ends a process by SIGTERM, waits for its end and starts it again."""
    process = deployment.processes[name]
    print("%.3f restarting %s at %s" % (time.time(), name, deployment.entries.get(name)))
    process.signal(signal.SIGTERM)
    process.handle.wait(timeout=40)
    process.start()
    deployment.wait_for(deployment.is_ready, name + " to be back", seconds=40)


def executions(deployment):
    counts = collections.Counter()
    for path in deployment.journals:
        with open(path, encoding="utf-8") as journal:
            counts.update(line.strip() for line in journal)
    return counts


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--bin", required=True)
    parser.add_argument("--standin", required=True)
    arguments = parser.parse_args()
    random.seed(1)
    deployment = Deployment(arguments.bin, arguments.standin, "caprock", limit=3)
    try:
        deployment.start()
        pool = deployment.pool_of_kind("service")
        balancer = Balancer(list(deployment.entries.values()))
        balancer.start()
        callers = [Caller(number, pool, balancer) for number in range(CALLERS)]
        for caller in callers:
            caller.start()
        time.sleep(1)
        for name in list(deployment.entries) + list(deployment.pools[pool]["replicas"]):
            restart(deployment, name)
        for caller in callers:
            caller.is_over = True
        for caller in callers:
            caller.join(timeout=30)
        balancer.is_over = True
        counts = sum((caller.counts for caller in callers), collections.Counter())
        failures = sum((caller.failures for caller in callers), [])
        ran = executions(deployment)
        print(json.dumps(dict(counts), sort_keys=True), failures[:5])
        assert counts["idempotent 200"] > 100 and counts["keyed answered"] > 100, "too little load"
        lost = {what: count for what, count in counts.items() if what.startswith("idempotent") and what != "idempotent 200"}
        assert not lost, ("idempotent calls were lost", lost, failures[:5])
        assert counts["keyed cut"] == 0, ("keyed calls were cut", failures[:5])
        assert counts["keyed wrong"] == 0
        for caller in callers:
            for key in caller.answered:
                assert ran[key] == 1, (key, "answered", ran[key])
            for key in caller.not_run:
                assert ran[key] == 0, (key, "was told not run")
            # A home that is away is honestly unknown, but in orderly restarts no run may lose its answer.
            for key in caller.unknown:
                assert ran[key] == 0, (key, "ran and its answer was lost")
        twice = [key for key, count in ran.items() if key.startswith("key-") and count > 1]
        assert not twice, twice
    finally:
        deployment.close(keep="KEEP" in os.environ)
    return 0


if __name__ == "__main__":
    sys.exit(main())
