#!/usr/bin/env python3
"""Entries that are told to stop while requests are on their way, wait for a server or are under way at one."""
import collections
import http.client
import os
import signal
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..", "scripts", "lib"))
from hosted import HOST, MODELS, SLOTS, configuration, run_case, wait_until  # noqa: E402
import hosted_servers  # noqa: E402

GRACE_S = 8
# A stream that was sent no later may be cut if its server is still at work in the last sixth of the grace time.
EXCUSED_UNTIL_S = 3.0
# Somewhat before an entry closes its idle connections.
STOPS_ACCEPTING_S = 3.2
TIMEOUT_MS = 10000
LONG_TIMEOUT_MS = 30000
# Statuses that promise that the request has not run.
REFUSED = 503
# Statuses of an answer that leaves the outcome open.
UNKNOWN = (502, 504)

Outcome = collections.namedtuple("Outcome", "id target sent_at ended_at status events")


def long_routes():
    """The routes of the configuration with more time, and one of streams that may not be resumed."""
    made = [{**route, "TimeoutMs": LONG_TIMEOUT_MS} for route in configuration(1)["Routes"]]
    stream = next(route for route in made if route["Name"] == "stream")
    return made + [{**stream, "Name": "draft", "PathPrefix": "/draft/", "Resumable": False}]


def prepare(deployment):
    configure = deployment.platform.configure
    deployment.platform.configure = lambda version: configure(version, long_routes())


class Caller(threading.Thread):
    """Sends one request at a time after the signal, on a connection that it opened before or opens then."""

    def __init__(self, deployment, entry, request_id, target, send_at_s, timeout_ms=TIMEOUT_MS, late_body_s=0.0,
                 is_kept=True):
        super().__init__(daemon=True)
        self.deployment = deployment
        self.request_id = request_id
        self.target = target
        self.send_at_s = send_at_s
        self.timeout_ms = timeout_ms
        self.late_body_s = late_body_s
        self.connection = deployment.connect(entry, timeout=20)
        self.signalled_at = None
        self.outcome = None
        if is_kept:
            assert deployment.call(entry, "warm-" + request_id, kept=self.connection)[0] == 200

    def head(self):
        return ("POST %s HTTP/1.1\r\nHost: %s\r\nEndiveroad-Request-Id: %s\r\nEndiveroad-Deadline-Ms: %d\r\n"
                "Endiveroad-Model: %s\r\nContent-Length: 6\r\n\r\n" % (
                    self.target, HOST, self.request_id, self.timeout_ms, MODELS[0])).encode()

    def run(self):
        time.sleep(max(self.signalled_at + self.send_at_s - time.monotonic(), 0))
        status, body = 0, b""
        sent_at = time.monotonic()
        try:
            if not self.connection.sock:
                self.connection.connect()
            self.connection.sock.sendall(self.head() + b"prom")
            time.sleep(self.late_body_s)
            sent_at = time.monotonic()
            self.connection.sock.sendall(b"pt")
            response = http.client.HTTPResponse(self.connection.sock, method="POST")
            response.begin()
            body = response.read()
            status = response.status
        except (OSError, http.client.HTTPException):
            pass  # No whole answer.
        self.outcome = Outcome(self.request_id, self.target, sent_at - self.signalled_at,
                               time.monotonic() - self.signalled_at, status, body.count(b"data:"))


def stop_entry_under(deployment, callers, entry=0):
    """Sends SIGTERM to the entry, lets the callers send their requests and returns what became of them."""
    deployment.entries[entry].signal(signal.SIGTERM)
    signalled_at = time.monotonic()
    for caller in callers:
        caller.signalled_at = signalled_at
        caller.start()
    for caller in callers:
        caller.join()
    assert deployment.entries[entry].handle.wait(timeout=GRACE_S + 2) == 0
    assert time.monotonic() - signalled_at < GRACE_S + 12
    return [caller.outcome for caller in callers]


def runs_of(deployment, outcomes):
    """How often each request ran at a server."""
    servers = deployment.platform.engines + deployment.platform.services
    ran = collections.Counter(run[0] for server in servers for run in server.ran)
    return {outcome.id: ran[outcome.id] for outcome in outcomes}


def check_no_false_refusal(outcomes, runs):
    """A status that promises that the request has not run is true of it."""
    for outcome in outcomes:
        assert outcome.status != REFUSED or runs[outcome.id] == 0, outcome


# Guards against streams that an entry begins when it can't end them: they were cut in the middle at the end of its
# grace time, without an excuse, as they had been sent later than 3 s after SIGTERM.
def streams_that_come_late_are_refused_or_whole(deployment):
    hosted_servers.event_count = lambda _: 45
    for engine in deployment.platform.engines:
        engine.EVENT_S = 0.1
    callers = [Caller(deployment, deployment.entries[0], "late-%d" % number, ("/stream/x", "/draft/x")[number % 2],
                      2.0 + 0.1 * (number // 2), is_kept=number % 4 < 2) for number in range(32)]
    outcomes = stop_entry_under(deployment, callers)
    runs = runs_of(deployment, outcomes)
    check_no_false_refusal(outcomes, runs)
    for outcome in outcomes:
        is_whole = outcome.status == 200 and outcome.events == 45
        is_excused = outcome.sent_at <= EXCUSED_UNTIL_S and outcome.ended_at >= GRACE_S * 5 / 6
        assert is_whole or is_excused or runs[outcome.id] == 0, outcome
    # Those that came while they could end were served, and those that came too late were refused at once.
    assert any(outcome.status == 200 for outcome in outcomes), outcomes
    refused = [outcome for outcome in outcomes if outcome.status == REFUSED]
    assert refused and all(outcome.ended_at - outcome.sent_at < 1 for outcome in refused), outcomes


# Guards against bodies whose last byte comes late: heads that came in time made an entry run streams that it cut.
def streams_whose_bodies_end_late_are_refused_or_whole(deployment):
    hosted_servers.event_count = lambda _: 50
    for engine in deployment.platform.engines:
        engine.EVENT_S = 0.1
    callers = [Caller(deployment, deployment.entries[0], "body-%d" % number, ("/stream/x", "/draft/x")[number % 2],
                      2.6 + 0.05 * number, late_body_s=1.0) for number in range(12)]
    outcomes = stop_entry_under(deployment, callers)
    runs = runs_of(deployment, outcomes)
    check_no_false_refusal(outcomes, runs)
    for outcome in outcomes:
        assert outcome.status == REFUSED and outcome.ended_at - outcome.sent_at < 1, outcome


# Guards against requests that wait for a server until the process ends: their connections were closed without an
# answer, though "not run" was true all the time.
def requests_that_wait_for_a_server_are_refused(deployment):
    engines, services = deployment.platform.engines, deployment.platform.services
    waiting = [Caller(deployment, deployment.entries[0], "wait-%d" % number, ("/stream/x", "/draft/x", "/once/x")[number % 3],
                      1.0 + 0.1 * number) for number in range(12)]
    hosted_servers.event_count = lambda _: 90
    for engine in engines:
        engine.EVENT_S = 0.1
        engine.queue = 0
    for service in services:
        # Each request is refused as one too many.
        service.queue = -service.slots
    holders = [threading.Thread(target=hold, args=(deployment, "busy-%d" % number), daemon=True)
               for number in range(SLOTS * len(engines))]
    for holder in holders:
        holder.start()
    wait_until(lambda: all(engine.running >= engine.slots for engine in engines), 5)
    outcomes = stop_entry_under(deployment, waiting)
    runs = runs_of(deployment, outcomes)
    for outcome in outcomes:
        assert runs[outcome.id] == 0 and outcome.status == REFUSED, (outcome, runs[outcome.id])
        # A stream that can't begin any more is refused as soon as that is known.
        assert outcome.target == "/once/x" or outcome.ended_at < 4, outcome


def hold(deployment, request_id):
    """Keeps a replica busy through another entry, until that ends."""
    try:
        deployment.request(deployment.entries[1], "POST", "/stream/x", b"prompt", {
            "Endiveroad-Request-Id": request_id, "Endiveroad-Deadline-Ms": "20000", "Endiveroad-Model": MODELS[0]},
                           timeout=25)
    except (OSError, http.client.HTTPException):
        pass  # The case ends before the stream does.


# Guards against calls that last longer than the process: their connections were closed without an answer. An answer
# that leaves the outcome open is always true, also for what was begun before SIGTERM.
def calls_are_answered_before_the_end(deployment):
    calls = [Caller(deployment, deployment.entries[0], "call-%d" % number, ("/call/x", "/once/x")[number % 2],
                    0.9 + 0.2 * number) for number in range(14)]
    for service in deployment.platform.services:
        service.extra_s = 5.5
    outcomes = stop_entry_under(deployment, calls)
    runs = runs_of(deployment, outcomes)
    check_no_false_refusal(outcomes, runs)
    for outcome in outcomes:
        is_unread = outcome.status == 0 and runs[outcome.id] == 0
        assert outcome.status in (200, REFUSED) + UNKNOWN or is_unread, (outcome, runs[outcome.id])
        assert outcome.ended_at < GRACE_S, outcome
    assert any(outcome.status == 200 for outcome in outcomes), outcomes
    assert any(outcome.status in UNKNOWN for outcome in outcomes), outcomes


# Guards against a process that ends under requests from before SIGTERM: calls that last longer than its grace time, and
# streams whose server has not answered yet.
def requests_from_before_are_answered_before_the_end(deployment):
    callers = [Caller(deployment, deployment.entries[1], "before-%d" % number, target, 0.0, LONG_TIMEOUT_MS)
               for number, target in enumerate(("/call/x", "/once/x", "/stream/x", "/draft/x") * 3)]
    for service in deployment.platform.services:
        service.extra_s = 20.0
    for engine in deployment.platform.engines:
        engine.is_dark = True
    for caller in callers:
        caller.signalled_at = time.monotonic()
        caller.start()
    time.sleep(0.5)
    deployment.entries[1].signal(signal.SIGTERM)
    for caller in callers:
        caller.join()
    assert deployment.entries[1].handle.wait(timeout=GRACE_S + 2) == 0
    for outcome in [caller.outcome for caller in callers]:
        assert outcome.status in UNKNOWN and outcome.ended_at < GRACE_S + 0.5, outcome


# Guards against a cure that refuses what can be served: short requests are all served while connections are taken, and
# what comes later on an idle connection meets a closed connection, unread.
def short_requests_are_served_until_connections_close(deployment):
    callers = [Caller(deployment, deployment.entries[0], "short-%d" % number, ("/call/x", "/once/x")[number % 2],
                      0.1 * number) for number in range(50)]
    # Their callers wait no longer than the process lasts.
    callers += [Caller(deployment, deployment.entries[0], "short-stream-%d" % number, "/stream/x", 2.5 + 0.1 * number,
                       timeout_ms=3000) for number in range(10)]
    outcomes = stop_entry_under(deployment, callers)
    runs = runs_of(deployment, outcomes)
    for outcome in outcomes:
        if outcome.sent_at <= STOPS_ACCEPTING_S:
            assert outcome.status == 200, outcome
        else:
            assert outcome.status == 200 or runs[outcome.id] == 0, outcome


CASES = {case.__name__: case for case in (
    streams_that_come_late_are_refused_or_whole, streams_whose_bodies_end_late_are_refused_or_whole,
    requests_that_wait_for_a_server_are_refused, calls_are_answered_before_the_end,
    requests_from_before_are_answered_before_the_end, short_requests_are_served_until_connections_close)}


if __name__ == "__main__":
    run_case(__doc__, CASES, prepare, engines=6, services=4)
