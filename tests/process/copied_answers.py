#!/usr/bin/env python3
"""Servers some of whose answers come twice, the second time where the answer to the next request is due."""
import collections
import http.client
import os
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..", "scripts", "lib"))
from hosted import MODELS, configuration, names, route, run_case  # noqa: E402
sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..", "standins"))
from hosted_servers import stamp, whole_text  # noqa: E402

# Far more copies than servers send, so that few requests show what happens.
COPY_CHANCE = 0.25
PLAY_S = 8.0

REFUSALS = (408, 421, 429, 503)


def play_callers(deployment, target, callers):
    """Callers send requests one after the other for PLAY_S. Returns the answers' statuses by request id."""
    answered = {}
    end = time.monotonic() + PLAY_S

    def caller(number):
        turn = 0
        while time.monotonic() < end:
            turn += 1
            request = "%s-%d-%d" % (target.strip("/").replace("/", "-"), number, turn)
            entry = deployment.entries[number % len(deployment.entries)]
            try:
                status, body, headers = deployment.request(entry, "POST", target, b"body", {
                    "Endiveroad-Request-Id": request, "Endiveroad-Deadline-Ms": "3000",
                    "Endiveroad-Model": MODELS[0]})
                answered[request] = status
                if status == 200:
                    assert headers["Endiveroad-Upstream-Stamp"] == stamp(request), (request, headers, body)
            except (OSError, http.client.HTTPException):
                answered[request] = 0

    threads = [threading.Thread(target=caller, args=(number,)) for number in range(callers)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return answered


def crowd(servers, work_s):
    """Few places, so that many requests are refused, sent again and reach a server twice."""
    for server in servers:
        server.slots = 1
        server.queue = 0
        server.extra_s = work_s
        server.late_copy_chance = COPY_CHANCE


def check_runs(servers, answered):
    """Each request ran once at the most, and none that was answered as refused."""
    time.sleep(0.5)
    runs = collections.Counter(request for server in servers for request, _, _ in server.ran)
    copies = sum((server.late_copies for server in servers), collections.Counter())
    print("answered: %s, copies: %s, connections: %s" % (
        dict(collections.Counter(answered.values())), dict(copies), [server.connections for server in servers]))
    twice = [request for request, count in runs.items() if count > 1]
    assert not twice, "ran twice: %d of %d, %s" % (len(twice), len(answered), twice[:3])
    refused = [request for request, status in answered.items() if status in REFUSALS and runs[request]]
    assert not refused, "refused and ran: %d of %d, %s" % (len(refused), len(answered), refused[:3])
    assert copies[503] > 20, "too few copies of refusals: %s" % copies
    assert list(answered.values()).count(200) > 50, collections.Counter(answered.values())


def unsafe_calls_run_twice_after_a_copy_of_a_refusal(deployment):
    """The copy of a refusal is taken for the answer to the same call, sent again; it runs here and elsewhere."""
    services = deployment.platform.services
    crowd(services, 0.01)
    check_runs(services, play_callers(deployment, "/once/x", 10))


def streams_run_twice_after_a_copy_of_a_refusal(deployment):
    """The same for streams that may not be resumed."""
    routes = configuration(2)["Routes"] + [route("fragile", "/fragile/", "streaming", "engines")]
    deployment.platform.configure(2, routes)
    time.sleep(2.0)
    engines = deployment.platform.engines
    crowd(engines, 0.0)
    for engine in engines:
        engine.EVENT_S = 0.002
    check_runs(engines, play_callers(deployment, "/fragile/x", 10))


def items_end_with_copies_of_earlier_answers(deployment):
    """Runs, scoring calls and repeated items take copies of their earlier answers for the new ones."""
    platform = deployment.platform
    for server in platform.services + platform.engines:
        server.late_copy_chance = COPY_CHANCE
    for service in platform.services:
        service.slots = 1
        service.queue = 0
    items = names("copied", 24)
    for turn in range(4):
        # The same items come again in a later job, so each id reaches the replicas again.
        job = "copied-%d" % turn
        deployment.submit(job, items, oldest=turn + 1)
        for result in deployment.read_all(job, len(items), patience_s=40):
            assert result["State"] == "completed" and result["Text"] == whole_text(result["Id"]), result
            assert result["Score"] == stamp("score-" + result["Id"]), result
            assert result["Versions"] and min(result["Versions"]) > turn, (turn, result)
        deployment.end(job)
        platform.name_version(MODELS[0], turn + 2)
    copies = sum((server.late_copies for server in platform.services + platform.engines), collections.Counter())
    assert copies[200] > 20, copies


CASES = {case.__name__: case for case in (
    unsafe_calls_run_twice_after_a_copy_of_a_refusal, streams_run_twice_after_a_copy_of_a_refusal,
    items_end_with_copies_of_earlier_answers)}


if __name__ == "__main__":
    run_case(__doc__, CASES, entries=3)
