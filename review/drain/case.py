"""The entries are stopped and started in turn while callers with kept connections ask for streams of some seconds."""
import http.client
import os
import random
import signal
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib"))
from case import main  # noqa: E402
import hosted  # noqa: E402

CALLERS = 110
EVENT_S = 0.26
RESTARTS = 5
IDLE_TIMEOUT_S = 15.0
GRACE_S = 8.0
# A request that was sent so long after SIGTERM, or earlier, may be cut in the last sixth of the grace time.
EXCUSED_S = 3.0


class Balancer:
    """Asks each entry once a second; two questions without a 200 take it out of rotation, the next 200 brings it back."""

    def __init__(self, deployment):
        self.deployment = deployment
        self.misses = {entry.name: 0 for entry in deployment.entries}
        self.random = random.Random(5)
        threading.Thread(target=self.run, daemon=True).start()

    def run(self):
        while True:
            for entry in self.deployment.entries:
                self.misses[entry.name] = 0 if self.deployment.is_ready(entry) else self.misses[entry.name] + 1
            time.sleep(1.0)

    def choose(self):
        entries = self.deployment.entries
        return self.random.choice([entry for entry in entries if self.misses[entry.name] < 2] or entries)


class Request:
    """One client attempt."""

    def __init__(self, request_id, entry):
        self.id = request_id
        self.entry = entry
        self.sent_at = None
        self.ended_at = None
        self.is_complete = False
        self.outcome = ""


class Caller(threading.Thread):
    """Asks for one stream after the other over a connection that it keeps, with pauses."""

    def __init__(self, case, balancer, number, requests):
        super().__init__(daemon=True)
        self.case = case
        self.balancer = balancer
        self.number = number
        self.requests = requests
        self.random = random.Random(number)
        self.connection = None
        self.used_at = 0.0
        self.is_over = False

    def run(self):
        turn = 0
        time.sleep(self.random.uniform(0, 5))
        while not self.is_over:
            turn += 1
            self.ask("stream-%d-%d" % (self.number, turn))
            time.sleep(self.random.uniform(0.5, 5.0))

    def ask(self, request_id):
        if self.connection and time.monotonic() > self.used_at + 0.8 * IDLE_TIMEOUT_S:
            self.connection[1].close()
            self.connection = None
        if not self.connection:
            entry = self.balancer.choose()
            self.connection = entry, self.case.deployment.connect(entry, 20)
        entry, connection = self.connection
        request = Request(request_id, entry)
        self.requests.append(request)
        try:
            connection.request("POST", "/plainstream/x", b"prompt", {
                "Host": hosted.HOST, "Endiveroad-Request-Id": request_id, "Endiveroad-Model": hosted.MODELS[0],
                "Endiveroad-Deadline-Ms": "9000"})
            request.sent_at = time.monotonic()
            response = connection.getresponse()
            response.read()
            request.is_complete = True
            request.outcome = str(response.status)
            if response.will_close:
                connection.close()
                self.connection = None
        except (OSError, http.client.HTTPException) as error:
            request.outcome = repr(error)
            connection.close()
            self.connection = None
        request.ended_at = self.used_at = time.monotonic()
        self.case.record.add("%s at %s: sent at %.3f, %s" % (
            request_id, entry.name, (request.sent_at or request.ended_at) - self.case.record.began, request.outcome),
            is_shown=False)


def run(case):
    deployment = case.deployment
    for engine in deployment.platform.engines:
        engine.extra_s = EVENT_S
        engine.queue = 0
    configuration = hosted.configuration(2)
    routes = configuration["Routes"] + [hosted.route("plainstream", "/plainstream/", "streaming", "engines")]
    limits = {**configuration["Limits"], "IdleTimeoutMs": int(IDLE_TIMEOUT_S * 1000)}
    deployment.platform.run(deployment.platform.store.write("op/config", __import__("json").dumps(
        {**configuration, "Routes": routes, "Limits": limits})))
    time.sleep(3.0)
    requests = []
    balancer = Balancer(deployment)
    callers = [Caller(case, balancer, number, requests) for number in range(CALLERS)]
    for caller in callers:
        caller.start()
    time.sleep(8.0)
    stops = []
    for number in range(RESTARTS):
        entry = deployment.entries[number % len(deployment.entries)]
        if case.has_trouble:
            stops.append((entry, time.monotonic()))
            case.note("SIGTERM to %s" % entry.name)
            entry.signal(signal.SIGTERM)
            try:
                entry.handle.wait(GRACE_S)
            except Exception:  # pylint: disable=broad-except
                entry.signal(signal.SIGKILL)
                entry.handle.wait()
            case.note("%s has ended" % entry.name)
            entry.start()
            time.sleep(5.0)
        else:
            time.sleep(GRACE_S + 5.0)
    for caller in callers:
        caller.is_over = True
    time.sleep(10.0)
    ran = {item for engine in deployment.platform.engines for item, _, _ in engine.ran}
    case.note("requests: %d, complete: %d" % (len(requests), sum(request.is_complete for request in requests)))
    held = True
    for request in requests:
        if request.is_complete or not request.sent_at or request.id not in ran:
            continue
        near = [at for entry, at in stops if entry is request.entry and at <= request.ended_at <= at + GRACE_S + 1]
        after = request.sent_at - near[-1] if near else None
        text = "%s at %s was cut after %.2f s: %s" % (
            request.id, request.entry.name, request.ended_at - request.sent_at, request.outcome)
        if not near:
            case.note("%s; no planned work there" % text)
        elif after <= EXCUSED_S and request.ended_at >= near[-1] + GRACE_S * 5 / 6:
            case.note("excused: %s; sent %.3f s after SIGTERM" % (text, after))
        else:
            case.note("LOST: %s; sent %.3f s after SIGTERM" % (text, after))
            held = False
    return held


hosted.SLOTS = 40
main(run, FOLDER)
