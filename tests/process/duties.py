#!/usr/bin/env python3
"""Usage reports to a stand-in of the platform's API, which tells whether two processes ever act at once."""
import json
import os
import signal
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..", "scripts", "lib"))
from hosted import MODELS, configuration, run_case, wait_until  # noqa: E402
from hosted_http import serve  # noqa: E402

WINDOW_S = 2
KEYS = {"alpha": "key-of-alpha", "beta": "key-of-beta"}


class Api:
    """Takes usage reports and keeps the first breach of what must hold of them."""

    def __init__(self):
        self.reports = {}
        self.calls = []
        self.violation = None

    async def handle(self, request, connection):
        token = int(request.headers["endiveroad-fencing-token"])
        holder = request.headers["endiveroad-lease-holder"]
        body = request.json()
        if self.calls and token < self.calls[-1][0]:
            self.violation = "token %d after %d" % (token, self.calls[-1][0])
        if any(token == other and holder != name for other, name, _ in self.calls):
            self.violation = "two holders under token %d" % token
        if self.reports.setdefault(body["WindowId"], body["Counts"]) != body["Counts"]:
            self.violation = "two reports of window %d" % body["WindowId"]
        self.calls.append((token, holder, time.monotonic()))
        await connection.answer(200, {})

    def counted(self, organisation):
        return sum(counts.get(organisation, 0) for counts in self.reports.values())


API = Api()


def prepare(deployment):
    address = deployment.prefix + ".2"
    server = deployment.platform.run(serve(address, 0, API.handle))
    port = server.sockets[0].getsockname()[1]
    for machine in deployment.machines():
        machine.settings.update({"Cloud.Address": "%s:%d" % (address, port), "Cloud.Duties": "usage_report",
                                 "Cloud.DutyPerS": 50, "Bounds.LeaseMs": 1500, "Bounds.WindowS": WINDOW_S,
                                 "Bounds.UsageLateS": 10, "Bounds.Fenced": "false"})


def configure(deployment):
    document = configuration(2)
    document["Tenants"] = [{"Name": name, "ApiKeys": [key]} for name, key in KEYS.items()]
    document["Routes"].append({**document["Routes"][0], "Name": "open", "PathPrefix": "/open/", "Public": True})
    deployment.platform.run(deployment.platform.store.write("op/config", json.dumps(document)))
    wait_until(lambda: call(deployment, 0, "probe-%f" % time.time(), "none")[0] == 401, 10)


def call(deployment, entry, request_id, organisation, target="/call/x"):
    headers = {"Endiveroad-Request-Id": request_id, "Endiveroad-Deadline-Ms": "3000",
               "Endiveroad-Model": MODELS[0], "X-Api-Key": KEYS.get(organisation, "unknown")}
    return deployment.request(deployment.entries[entry], "POST", target, b"body", headers)


def has_reported_through(window):
    return all(number in API.reports for number in range(min(API.reports, default=window + 1), window + 1)) and API.reports


def check_windows():
    """Every window from the first to the last one reported has a report."""
    assert not API.violation, API.violation
    assert sorted(API.reports) == list(range(min(API.reports), max(API.reports) + 1)), sorted(API.reports)


def usage_of_calls_and_streams_is_reported_once(deployment):
    configure(deployment)
    for number in range(20):
        assert call(deployment, number % 2, "a-%d" % number, "alpha")[0] == 200
    # The same request again, at the same entry.
    assert call(deployment, 0, "a-0", "alpha")[0] == 200
    for number in range(3):
        assert call(deployment, 0, "s-%d" % number, "beta", "/stream/x")[0] == 200
    assert call(deployment, 0, "open", "alpha", "/open/x")[0] == 200
    assert call(deployment, 0, "unknown", "nobody")[0] == 401
    last = int(time.time()) // WINDOW_S
    wait_until(lambda: has_reported_through(last + 1), 25)
    check_windows()
    assert (API.counted("alpha"), API.counted("beta")) == (20, 3), API.reports
    assert len({holder for _, holder, _ in API.calls}) == 1, API.calls


def holders_follow_each_other(deployment):
    configure(deployment)
    wait_until(lambda: API.calls, 20)
    sent = 0
    for number, harm in enumerate((signal.SIGKILL, signal.SIGSTOP, signal.SIGTERM)):
        holder = API.calls[-1][1]
        for _ in range(5):
            assert call(deployment, 0, "r-%d" % sent, "alpha")[0] == 200
            sent += 1
        time.sleep(0.7)
        machine = next(machine for machine in deployment.coordinators if machine.name == holder)
        machine.signal(harm)
        wait_until(lambda: API.calls[-1][1] != holder, 20)
        if harm == signal.SIGSTOP:
            machine.signal(signal.SIGCONT)
        else:
            machine.handle.wait(10)
            machine.start()
        wait_until(machine.has_started, 10)
    last = int(time.time()) // WINDOW_S
    wait_until(lambda: has_reported_through(last), 25)
    check_windows()
    assert API.counted("alpha") == sent, (sent, API.reports)
    assert len({token for token, _, _ in API.calls}) >= 4, API.calls


CASES = {case.__name__: case for case in (usage_of_calls_and_streams_is_reported_once, holders_follow_each_other)}

if __name__ == "__main__":
    run_case(__doc__, CASES, prepare)
