#!/usr/bin/env python3
"""Replicas that go on after sound events with bytes that are no event, or one that is too long."""
import os
import socket
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..", "scripts", "lib"))
from hosted import HOST, MODELS, configuration, names, run_case  # noqa: E402
from hosted_servers import event_count, event_text, whole_text  # noqa: E402

TIMEOUT_MS = 20000
SOUND_EVENTS = 2
# Without a line end, and in lines that are no event each.
PIECES = (b"x" * 16384, b"data: " + b"x" * 262144 + b"\n")
# Time in which an entry closes the connection to a replica whose stream it has given up. The streams have TIMEOUT_MS.
LEFT_S = 5.0


def prepare(deployment):
    """Streams have 20 s, and those of /draft/ may not be resumed."""
    routes = configuration(1)["Routes"]
    stream = next(route for route in routes if route["Name"] == "stream")
    stream["TimeoutMs"] = TIMEOUT_MS
    routes.append({**stream, "Name": "draft", "PathPrefix": "/draft/", "Resumable": False})
    configure = deployment.platform.configure
    deployment.platform.configure = lambda version: configure(version, routes)


class Caller(threading.Thread):
    """Keeps the bytes of its answer as they come."""

    def __init__(self, deployment, request_id, target, number):
        super().__init__(daemon=True)
        self.request_id = request_id
        self.address = (deployment.entries[number % 2].address, deployment.port + 1)
        self.head = ("POST %s HTTP/1.1\r\nHost: %s\r\nEndiveroad-Request-Id: %s\r\nEndiveroad-Deadline-Ms: %d\r\n"
                     "Endiveroad-Model: %s\r\nContent-Length: 6\r\nConnection: close\r\n\r\nprompt" % (
                         target, HOST, request_id, TIMEOUT_MS, MODELS[0]))
        self.received = b""

    def run(self):
        with socket.create_connection(self.address, timeout=TIMEOUT_MS / 1000 + 2) as connection:
            connection.sendall(self.head.encode())
            try:
                while piece := connection.recv(65536):
                    self.received += piece
            except OSError:
                pass  # What has come until then is judged.

    def status(self):
        return int(self.received.split(b" ", 2)[1])

    def body(self):
        """The chunks' bytes, and whether the last chunk has come. Anything else where a chunk is due is a fault."""
        rest = self.received.partition(b"\r\n\r\n")[2]
        body = b""
        while rest:
            line, _, rest = rest.partition(b"\r\n")
            size = int(line, 16)
            if size == 0:
                return body, True
            assert len(rest) >= size + 2, (self.request_id, rest[:200])
            body, rest = body + rest[:size], rest[size + 2:]
        return body, False


def call_all(deployment, label, target, count):
    callers = [Caller(deployment, "%s-%d" % (label, number), target, number) for number in range(count)]
    for caller in callers:
        caller.start()
    for caller in callers:
        caller.join()
    return callers


def events_of(request_id, first, count):
    return b"".join(b"id: %d\ndata: %s\n\n" % (number, event_text(request_id, number).encode())
                    for number in range(first, first + count))


def trouble(engines, piece):
    for engine in engines:
        engine.overlong_after = SOUND_EVENTS
        engine.overlong_piece = piece


def check_left(engines):
    left = [left_s for engine in engines for _, left_s in engine.overlong_left]
    assert left and max(left) < LEFT_S, left


# Guards against an HTTP error answer inside a stream whose head is out, and against an entry that reads on at the replica
# until the deadline.
def a_stream_that_may_not_be_resumed_ends_visibly(deployment):
    engines = deployment.platform.engines
    for number, piece in enumerate(PIECES):
        trouble(engines, piece)
        for caller in call_all(deployment, "draft-%d" % number, "/draft/x", 2):
            body, is_complete = caller.body()
            assert caller.status() == 200 and not is_complete, caller.received[-200:]
            assert body == events_of(caller.request_id, 0, SOUND_EVENTS), body[-200:]
    check_left(engines)
    # Its end can be found by the request's id.
    log = "".join(open(entry.log_path, encoding="utf-8").read() for entry in deployment.entries)
    ended = [line for line in log.splitlines() if "StreamEnded" in line and "draft-0-0" in line]
    assert len(ended) == 1 and "longer than" in ended[0], ended


# Guards against the same where several replicas are in trouble: a resumable stream is given up with the attempts of its
# route, and what has passed are whole events of the replicas that were tried.
def a_stream_whose_replicas_are_all_in_trouble_ends_visibly(deployment):
    engines = deployment.platform.engines
    for number, piece in enumerate(PIECES):
        trouble(engines, piece)
        for caller in call_all(deployment, "all-%d" % number, "/stream/x", 4):
            body, is_complete = caller.body()
            assert caller.status() == 200 and not is_complete, caller.received[-200:]
            runs = sum(run[0] == caller.request_id for engine in engines for run in engine.ran)
            assert 1 <= runs <= 3, runs
            assert body == events_of(caller.request_id, 0, SOUND_EVENTS * runs), body[-200:]
    check_left(engines)


# Guards against streams that end with a replica in trouble though a sound one may go on with them.
def a_resumable_stream_goes_on_at_a_sound_replica(deployment):
    engines = deployment.platform.engines
    for number, piece in enumerate(PIECES):
        trouble(engines[:2], piece)
        callers = call_all(deployment, "resumed-%d" % number, "/stream/x", 8)
        for caller in callers:
            body, is_complete = caller.body()
            assert caller.status() == 200 and is_complete, (caller.request_id, caller.received[-200:])
            assert body == events_of(caller.request_id, 0, event_count(caller.request_id)), body[-200:]
    check_left(engines)


# Guards against callers that wait beside a stream in trouble: its entry spent all its time on it.
def items_and_calls_pass_beside_a_replica_in_trouble(deployment):
    engines = deployment.platform.engines
    trouble(engines[:1], PIECES[0])
    streams = [Caller(deployment, "beside-%d" % number, "/stream/x", number) for number in range(4)]
    items = names("item", 12)
    assert deployment.submit("job-beside", items) == [202]
    for stream in streams:
        stream.start()
    for number in range(20):
        assert deployment.call(deployment.entries[number % 2], "call-%d" % number)[0] == 200
        time.sleep(0.05)
    for stream in streams:
        stream.join()
        assert stream.body()[1], stream.received[-200:]
    results = deployment.read_all("job-beside", len(items), patience_s=40)
    assert {result["Text"] for result in results} == {whole_text(item) for item in items}, results


CASES = {case.__name__: case for case in (
    a_stream_that_may_not_be_resumed_ends_visibly, a_stream_whose_replicas_are_all_in_trouble_ends_visibly,
    a_resumable_stream_goes_on_at_a_sound_replica, items_and_calls_pass_beside_a_replica_in_trouble)}


if __name__ == "__main__":
    run_case(__doc__, CASES, prepare)
