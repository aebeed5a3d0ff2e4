"""An entry that stops takes requests for longer than it can finish them.

Callers with open connections send a streaming request each 3.1 to 3.2 s after the SIGTERM of their entry.
"""
import collections
import http.client
import os
import signal
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "lib-3"))
import deployment  # noqa: E402
import hosted_servers  # noqa: E402
from hosted import MODELS, configuration  # noqa: E402

CALLERS = 16
# The sheet's streams have pauses of 120 ms at most, and up to 174 events.
EVENTS = 45
PAUSE_S = 0.1
TIMEOUT_MS = 10000
SEND_AT_S = 3.1
SPREAD_S = 0.1
# RULES.md: a request that was sent no later is excused if its replica was at work in the last sixth of GraceS.
EXCUSED_UNTIL_S = 3.0
GRACE_S = deployment.BOUNDS["GraceS"]
# A resumable stream and one that may not be repeated.
PREFIXES = ("/stream/", "/draft/")

hosted_servers.event_count = lambda _: EVENTS


def routes():
    made = [{**route, "TimeoutMs": TIMEOUT_MS} for route in configuration(1)["Routes"]]
    stream = next(route for route in made if route["Name"] == "stream")
    return made + [{**stream, "Name": "draft", "PathPrefix": "/draft/", "Resumable": False}]


class Caller(threading.Thread):
    """Keeps its connection: one short stream before, then one request in the time after the signal."""

    def __init__(self, made, record, number):
        super().__init__(daemon=True)
        self.made = made
        self.record = record
        self.number = number
        self.kept = made.connect(made.entries[0], timeout=15)
        self.sent_at = None
        self.ended_at = None
        self.outcome = None

    def warm_up(self):
        assert self.made.call(self.made.entries[0], "warm-%d" % self.number, kept=self.kept)[0] == 200

    def run(self):
        start = self.signalled_at
        time.sleep(max(start + SEND_AT_S + SPREAD_S * self.number / CALLERS - time.monotonic(), 0))
        self.sent_at = time.monotonic() - start
        target = PREFIXES[self.number % len(PREFIXES)] + "x"
        try:
            status, body, headers = self.made.request(
                self.made.entries[0], "POST", target, b"prompt", {
                    "Endiveroad-Request-Id": "late-%d" % self.number, "Endiveroad-Deadline-Ms": str(TIMEOUT_MS),
                    "Endiveroad-Model": MODELS[0]}, kept=self.kept)
            is_whole = status != 200 or body.count(b"data:") == EVENTS
            self.outcome = "%d, %s" % (status, "whole" if is_whole else "%d events" % body.count(b"data:"))
            self.is_answered = is_whole
        except (OSError, http.client.HTTPException) as error:
            self.outcome = "no whole answer: %r" % error
            self.is_answered = False
        self.ended_at = time.monotonic() - start
        self.record.write("late-%d to %s sent %.2f s after SIGTERM, ended at %.2f s: %s" % (
            self.number, target, self.sent_at, self.ended_at, self.outcome))


def case(made, record, trouble):
    for engine in made.platform.engines:
        engine.EVENT_S = PAUSE_S
    callers = [Caller(made, record, number) for number in range(CALLERS)]
    for caller in callers:
        caller.warm_up()
    # StableMs before the requests nothing unplanned happens; nothing does at all.
    time.sleep(deployment.BOUNDS["StableMs"] / 1000)
    if trouble:
        made.entries[0].signal(signal.SIGTERM)
        record.write("SIGTERM to entry-0")
    signalled_at = time.monotonic()
    for caller in callers:
        caller.signalled_at = signalled_at
        caller.start()
    for caller in callers:
        caller.join()
    ran = collections.Counter(run[0] for engine in made.platform.engines for run in engine.ran)
    record.write("runs at replicas: %s" % {request: count for request, count in ran.items() if "late" in request})
    lost = [caller for caller in callers if not caller.is_answered and ran["late-%d" % caller.number]
            and caller.sent_at > EXCUSED_UNTIL_S and caller.ended_at <= GRACE_S + 1
            and (caller.ended_at - caller.sent_at) * 1000 < TIMEOUT_MS]
    record.write("requests that a replica ran and that got no whole answer, without an excuse: %d of %d" % (
        len(lost), CALLERS))
    return not lost


if __name__ == "__main__":
    deployment.run(FOLDER, case, routes=routes(), entries=2, coordinators=3, engines=4, services=2)
