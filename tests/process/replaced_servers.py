#!/usr/bin/env python3
"""Servers that start again at their addresses under new ids while their registrations still name the former ones."""
import collections
import http.client
import os
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..", "scripts", "lib"))
from hosted import names, run_case  # noqa: E402

# What one answer proves is known everywhere after this.
NEWS_S = 0.3
CALLERS = 3
ROUNDS = 6
ROUND_S = 3.0


class Callers:
    """Callers that send sound requests through changing entries, one after the other."""

    def __init__(self, deployment, target):
        self.deployment = deployment
        self.target = target
        self.statuses = collections.Counter()
        self.is_stopped = False

    def send_until_stopped(self, caller):
        number = 0
        while not self.is_stopped:
            number += 1
            entry = self.deployment.entries[(caller + number) % len(self.deployment.entries)]
            request_id = "sound-%d-%d" % (caller, number)
            try:
                status, _, _ = self.deployment.request(
                    entry, "POST", self.target, b"sound " + request_id.encode(),
                    {"Endiveroad-Request-Id": request_id, "Endiveroad-Deadline-Ms": "3000",
                     "Endiveroad-Model": "model-a"})
            except (OSError, http.client.HTTPException):
                status = 0
            self.statuses[status] += 1
            # As a caller who was told to come back.
            time.sleep(0.2 if status in (429, 503) else 0.01)


def replace_all(deployment, servers, callers):
    """Ends all servers at once, again and again, while the callers send."""
    threads = [threading.Thread(target=callers.send_until_stopped, args=(caller,)) for caller in range(CALLERS)]
    for thread in threads:
        thread.start()
    for _ in range(ROUNDS):
        time.sleep(ROUND_S)
        for server in servers:
            deployment.platform.loop.call_soon_threadsafe(server.end)
    time.sleep(ROUND_S)
    callers.is_stopped = True
    for thread in threads:
        thread.join()


def check_misdirected(servers):
    """A server that is known to be gone gets no further request, and no request names it twice."""
    by_server = collections.defaultdict(list)
    for server in servers:
        for moment, request, expected in server.misdirected:
            by_server[expected].append((moment, request))
    arrivals = sum(len(server.reached) for server in servers)
    misdirected = sum(len(rows) for rows in by_server.values())
    by_request = collections.Counter(request for rows in by_server.values() for _, request in rows)
    print("arrivals: %d, for other servers: %d, at most %d of one request" % (
        arrivals, misdirected, max(by_request.values(), default=0)))
    for expected, rows in by_server.items():
        requests = [request for _, request in rows if request]
        assert len(requests) == len(set(requests)), "%s was named %d times by %d requests" % (
            expected, len(requests), len(set(requests)))
        late = [moment for moment, _ in rows if moment > rows[0][0] + NEWS_S]
        assert not late, "%d requests named %s later than %g s after the first" % (len(late), expected, NEWS_S)


def calls_are_sent_to_servers_that_are_known_to_be_gone(deployment):
    services = deployment.platform.services
    for service in services:
        service.down_s = 0.1
    callers = Callers(deployment, "/call/x")
    replace_all(deployment, services, callers)
    print("answers:", callers.statuses)
    check_misdirected(services)
    assert callers.statuses[200] >= 0.95 * sum(callers.statuses.values()), callers.statuses


def unsafe_calls_are_sent_to_servers_that_are_known_to_be_gone(deployment):
    services = deployment.platform.services
    for service in services:
        service.down_s = 0.1
    callers = Callers(deployment, "/once/x")
    replace_all(deployment, services, callers)
    print("answers:", callers.statuses)
    check_misdirected(services)
    ran = [request for service in services for request, _, _ in service.ran]
    assert len(ran) == len(set(ran)), "a call that may not be repeated ran twice"
    assert callers.statuses[200] >= 0.9 * sum(callers.statuses.values()), callers.statuses


def items_and_scoring_calls_are_sent_to_servers_that_are_known_to_be_gone(deployment):
    engines, services = deployment.platform.engines, deployment.platform.services
    for server in engines + services:
        server.down_s = 0.1
    jobs = {}
    for number in range(ROUNDS):
        jobs["job-%d" % number] = names("item-%d" % number, 18)
        deployment.submit("job-%d" % number, jobs["job-%d" % number])
        time.sleep(ROUND_S / 6)
        for server in (engines, services)[number % 2]:
            deployment.platform.loop.call_soon_threadsafe(server.end)
        time.sleep(ROUND_S)
    for job, items in jobs.items():
        assert all(result["State"] == "completed" for result in deployment.read_all(job, len(items), patience_s=40))
    check_misdirected(engines)
    check_misdirected(services)


def streams_are_sent_to_servers_that_are_known_to_be_gone(deployment):
    engines = deployment.platform.engines
    for engine in engines:
        engine.down_s = 0.1
    callers = Callers(deployment, "/stream/x")
    replace_all(deployment, engines, callers)
    print("answers:", callers.statuses)
    check_misdirected(engines)
    assert callers.statuses[200] >= 0.9 * sum(callers.statuses.values()), callers.statuses


def addresses_of_servers_go_to_another_service(deployment):
    """All servers end; all but one start again as servers of another service, at the addresses that they had."""
    services = deployment.platform.services
    for service in services:
        service.down_s = 0.1
    callers = Callers(deployment, "/call/x")
    strangers = services[1:]
    threads = [threading.Thread(target=callers.send_until_stopped, args=(caller,)) for caller in range(CALLERS)]
    for thread in threads:
        thread.start()
    time.sleep(ROUND_S)
    ended_at = time.monotonic()
    for service in services:
        service.service = "plain" if service not in strangers else "another"
        deployment.platform.loop.call_soon_threadsafe(service.end)
    time.sleep(3 * ROUND_S)
    callers.is_stopped = True
    for thread in threads:
        thread.join()
    print("answers:", callers.statuses)
    check_misdirected(services)
    stray = [expected for service in strangers for moment, _, expected in service.misdirected if moment > ended_at + ROUND_S]
    assert not stray, stray
    assert callers.statuses[200] >= 0.95 * sum(callers.statuses.values()), callers.statuses


CASES = {case.__name__: case for case in (
    calls_are_sent_to_servers_that_are_known_to_be_gone, streams_are_sent_to_servers_that_are_known_to_be_gone,
    unsafe_calls_are_sent_to_servers_that_are_known_to_be_gone,
    items_and_scoring_calls_are_sent_to_servers_that_are_known_to_be_gone, addresses_of_servers_go_to_another_service)}


if __name__ == "__main__":
    run_case(__doc__, CASES, engines=3, services=3)
