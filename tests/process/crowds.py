#!/usr/bin/env python3
"""Crowds of callers that send large bodies and hold them open, or hold connections without a request.

Each case guards against processes that run out of memory or descriptors: all processes live, the crowd's entries stay
within Limits.MemoryMb and Limits.MaxFds, and an ordinary request is answered while the crowd is still there.
"""
import base64
import json
import os
import resource
import selectors
import socket
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..", "scripts", "lib"))
from hosted import CALL_PREFIX, HOST, JOB_PREFIX, MODELS, configuration, run_case, wait_until  # noqa: E402

# The smallest entry and coordinator of the users' deployments; descriptors are lowered to keep crowds small.
ENTRY_MEMORY_MB = 120
COORDINATOR_MEMORY_MB = 280
MAX_FDS = 200
LARGEST_BODY = 32 << 20
# The sum is more than the memory of an entry.
CROWD = 40
CROWD_BODY = 4 << 20
SILENT_CROWD = 300
CROWD_TIME_S = 4.0


def prepare(deployment):
    limits = {"MaxHeaderBytes": 16384, "MaxBodyBytes": LARGEST_BODY, "HeaderTimeoutMs": 20000, "IdleTimeoutMs": 20000}

    def configure(version):
        platform = deployment.platform
        platform.run(platform.store.write("op/config", json.dumps({**configuration(version), "Limits": limits})))

    deployment.platform.configure = configure
    for machine in deployment.machines():
        is_coordinator = machine in deployment.coordinators
        machine.settings["Limits.MemoryMb"] = COORDINATOR_MEMORY_MB if is_coordinator else ENTRY_MEMORY_MB
        machine.settings["Limits.MaxFds"] = MAX_FDS


def status_number(machine, name):
    with open("/proc/%d/status" % machine.handle.pid, encoding="utf-8") as status:
        return next(int(line.split()[1]) for line in status if line.startswith(name))


class Watch:
    """Limits the descriptors of all processes as their VMs do, and records the most that are open at a time."""

    def __init__(self, deployment):
        self.deployment = deployment
        self.most_fds = {}
        self.is_ended = False
        for machine in deployment.machines():
            resource.prlimit(machine.handle.pid, resource.RLIMIT_NOFILE, (MAX_FDS, MAX_FDS))
        self.thread = threading.Thread(target=self.sample, daemon=True)
        self.thread.start()

    def sample(self):
        while not self.is_ended:
            for machine in self.deployment.machines():
                try:
                    count = len(os.listdir("/proc/%d/fd" % machine.handle.pid))
                except OSError:
                    count = 0
                self.most_fds[machine.name] = max(count, self.most_fds.get(machine.name, 0))
            time.sleep(0.02)

    def check(self):
        self.is_ended = True
        self.thread.join()
        machines = self.deployment.machines()
        dead = {machine.name: machine.handle.poll() for machine in machines if machine.handle.poll() is not None}
        assert not dead, dead
        peaks = {machine.name: round(status_number(machine, "VmHWM") / 1024) for machine in machines}
        print("peak MB %s, most descriptors %s" % (peaks, self.most_fds), file=sys.stderr)
        over = {machine.name: peaks[machine.name] for machine in machines
                if peaks[machine.name] > machine.settings["Limits.MemoryMb"]}
        assert not over, over
        # A process that has none left cannot accept a connection or reach a server.
        exhausted = {name: count for name, count in self.most_fds.items() if count >= MAX_FDS}
        assert not exhausted, exhausted


def head(number, length, target=CALL_PREFIX + "x", label="crowd"):
    size = "Transfer-Encoding: chunked" if length is None else "Content-Length: %d" % length
    return ("POST %s HTTP/1.1\r\nHost: %s\r\nEndiveroad-Request-Id: %s-%d\r\nEndiveroad-Deadline-Ms: 8000\r\n%s\r\n\r\n"
            % (target, HOST, label, number, size)).encode()


class Crowd:
    """Connections that each send their bytes as fast as they are taken, then one more byte each second if they trickle,
    and stay open until the end."""

    def __init__(self, entry, port, payloads, trickles=False):
        self.selector = selectors.DefaultSelector()
        self.trickles = trickles
        self.is_ended = False
        self.sockets = []
        for payload in payloads:
            connection = socket.socket()
            connection.setblocking(False)
            connection.connect_ex((entry.address, port))
            self.sockets.append(connection)
            self.selector.register(connection, selectors.EVENT_WRITE | selectors.EVENT_READ, [memoryview(payload), 0.0])
        self.thread = threading.Thread(target=self.run, daemon=True)
        self.thread.start()

    def run(self):
        while not self.is_ended:
            if not self.selector.get_map():
                time.sleep(0.05)
                continue
            for key, events in self.selector.select(0.1):
                self.serve(key, events)

    def serve(self, key, events):
        connection, state = key.fileobj, key.data
        try:
            if events & selectors.EVENT_READ and not connection.recv(65536):
                raise ConnectionError
            if events & selectors.EVENT_WRITE and state[0]:
                state[0] = state[0][connection.send(state[0][:262144]):]
            if not state[0] and self.trickles and time.monotonic() > state[1]:
                state[1] = time.monotonic() + 1
                connection.send(b"x")
        except BlockingIOError:
            pass
        except OSError:
            self.selector.unregister(connection)
            return
        if not state[0] and not self.trickles:
            self.selector.modify(connection, selectors.EVENT_READ, state)
        elif not state[0]:
            time.sleep(0.001)

    def close(self):
        self.is_ended = True
        self.thread.join()
        for connection in self.sockets:
            connection.close()


def is_answered(deployment, entry, label):
    try:
        return deployment.call(entry, "%s-%f" % (label, time.monotonic()))[0] == 200
    except OSError:
        return False


def hold(deployment, payloads, entries=None, trickles=False, watch=None, port=None):
    """Holds a crowd at entries; an ordinary request is answered at each of them while the crowd stands."""
    own = watch or Watch(deployment)
    entries = entries or deployment.entries[:1]
    crowds = [Crowd(entry, port or deployment.port + 1, payloads, trickles) for entry in entries]
    time.sleep(CROWD_TIME_S)
    try:
        for entry in entries:
            wait_until(lambda at=entry: is_answered(deployment, at, "ordinary"), 15)
    finally:
        for crowd in crowds:
            crowd.close()
        if not watch:
            own.check()


def short_bodies(count=CROWD, size=CROWD_BODY, missing=1):
    body = bytes(size - missing)
    return [head(number, size) + body for number in range(count)]


def one_byte_short(deployment):
    hold(deployment, short_bodies())


def few_largest_bodies_one_byte_short(deployment):
    hold(deployment, short_bodies(6, LARGEST_BODY))


def a_byte_a_second(deployment):
    hold(deployment, short_bodies(missing=1000), trickles=True)


def chunked_bodies_without_end(deployment):
    chunk = bytes(65536)
    body = (b"%x\r\n%s\r\n" % (len(chunk), chunk)) * (CROWD_BODY // len(chunk))
    hold(deployment, [head(number, None) + body for number in range(CROWD)])


def whole_bodies_beside_a_slow_service(deployment):
    for service in deployment.platform.services:
        service.extra_s = 2.0
    body = bytes(CROWD_BODY)
    hold(deployment, [head(number, CROWD_BODY) + body for number in range(CROWD)])


def connections_without_a_request(deployment):
    hold(deployment, [b""] * SILENT_CROWD)


def connections_of_strangers_to_the_port_of_peers(deployment):
    hold(deployment, [b""] * SILENT_CROWD, port=deployment.port)


def crowds_at_all_entries_at_once(deployment):
    hold(deployment, short_bodies(), entries=deployment.entries)


def a_crowd_comes_again(deployment):
    watch = Watch(deployment)
    for _ in range(3):
        hold(deployment, short_bodies(), watch=watch)
    watch.check()


def the_largest_body_passes_in_calm(deployment):
    watch = Watch(deployment)
    body = bytes(LARGEST_BODY)
    for number, target in enumerate((CALL_PREFIX + "x", "/stream/x")):
        status, answer, _ = deployment.request(
            deployment.entries[0], "POST", target, body,
            {"Endiveroad-Request-Id": "large-%d" % number, "Endiveroad-Deadline-Ms": "8000",
             "Endiveroad-Model": MODELS[0]}, timeout=20)
        assert status == 200, (target, status, answer[:300])
    assert is_answered(deployment, deployment.entries[0], "after")
    watch.check()


def submit_large(deployment, expected, items):
    watch = Watch(deployment)
    prompt = base64.b64encode(bytes(600000)).decode()
    rows = [{"Id": "large-%d" % number, "Path": JOB_PREFIX + "large-%d" % number, "Tokens": 10, "Group": "g",
             "Headers": {"Endiveroad-Model": MODELS[0]}, "Body": prompt} for number in range(items)]
    body = json.dumps({"Step": 0, "Model": MODELS[0], "MinVersion": 1, "TargetGroups": 1, "Items": rows}).encode()
    assert len(body) <= LARGEST_BODY, len(body)
    headers = {"Endiveroad-Request-Id": "job-large", "Endiveroad-Deadline-Ms": "8000"}
    status, answer, _ = deployment.request(deployment.entries[0], "POST", JOB_PREFIX + "job-large", body, headers,
                                           timeout=20)
    assert status == expected, (status, answer[:300])
    assert is_answered(deployment, deployment.entries[0], "after")
    watch.check()


def the_largest_batch_job_passes_in_calm(deployment):
    """The store takes 29 parts of 700 KB in the one transaction that accepts a job."""
    submit_large(deployment, 202, 25)


def a_batch_job_too_large_for_the_store_harms_no_process(deployment):
    submit_large(deployment, 413, 40)


CASES = {case.__name__: case for case in (
    one_byte_short, few_largest_bodies_one_byte_short, a_byte_a_second, chunked_bodies_without_end,
    whole_bodies_beside_a_slow_service, connections_without_a_request,
    connections_of_strangers_to_the_port_of_peers, crowds_at_all_entries_at_once, a_crowd_comes_again,
    the_largest_body_passes_in_calm, the_largest_batch_job_passes_in_calm,
    a_batch_job_too_large_for_the_store_harms_no_process)}


if __name__ == "__main__":
    run_case(__doc__, CASES, prepare)
