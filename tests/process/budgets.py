#!/usr/bin/env python3
"""How many servers one request of a caller may reach, and how much time they may be given, while servers fail."""
import collections
import os
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..", "scripts", "lib"))
from hosted import MODELS, names, run_case  # noqa: E402

# MaxAttempts of the routes in hosted.py.
MAX_ATTEMPTS = 3
# Requests that may reach more servers in all, as the users count them.
ALLOWED_REQUESTS = 3
# By how much a server's time may go beyond the caller's.
SLACK_MS = 500


def send_all(deployment, label, timeout_ms=1500):
    """Calls of each kind through all entries at the same time; returns the times at which they were sent."""
    sent = {}
    threads = []
    for number in range(36):
        target = ("/call/x", "/once/x", "/stream/x")[number % 3]
        request_id = "%s-%d" % (label, number)

        def call(number=number, target=target, request_id=request_id):
            entry = deployment.entries[number % len(deployment.entries)]
            sent[request_id] = time.monotonic()
            try:
                deployment.request(entry, "POST", target, b"body %d" % number, {
                    "Endiveroad-Request-Id": request_id, "Endiveroad-Deadline-Ms": str(timeout_ms),
                    "Endiveroad-Model": MODELS[0]})
            except Exception:  # The answer breaks off.
                pass

        threads.append(threading.Thread(target=call))
        threads[-1].start()
    for thread in threads:
        thread.join()
    return sent


def harm(deployment, turn):
    """One kind of trouble in all servers after the other."""
    platform = deployment.platform
    for server in platform.services + platform.engines:
        server.lose_answers = 30 if turn == 0 else 0
        server.extra_s = 1.0 if turn == 1 else 0.0
    for engine in platform.engines:
        engine.cut_after = 2 if turn == 2 else None
    for server in platform.services:
        server.slots, server.queue = (1, 0) if turn == 3 else (6, 24)
    if turn == 4:
        deployment.coordinators[0].kill()
        deployment.coordinators[0].start()


def play(deployment):
    """Returns the times at which requests were sent, by id."""
    sent = {}
    deployment.submit("job-beside", names("beside", 6))
    for turn in range(6):
        harm(deployment, turn)
        sent.update(send_all(deployment, "round-%d" % turn))
    return sent


def one_request_reaches_no_more_servers_than_its_route_allows(deployment):
    sent = play(deployment)
    servers = collections.defaultdict(set)
    runs = collections.Counter()
    for server in deployment.platform.services + deployment.platform.engines:
        for request_id, _, _ in server.ran:
            servers[request_id].add(server.id)
            runs[request_id] += 1
    over = {request_id: reached for request_id, reached in servers.items()
            if request_id in sent and len(reached) > MAX_ATTEMPTS}
    assert len(over) <= ALLOWED_REQUESTS, over
    twice = [request_id for request_id in sent if int(request_id.rsplit("-", 1)[1]) % 3 == 1 and runs[request_id] > 1]
    assert not twice, "requests that may run once ran again: %r" % twice


def servers_get_no_more_time_than_is_left(deployment):
    sent = play(deployment)
    wrong = []
    for server in deployment.platform.services + deployment.platform.engines:
        for at, request_id, left_ms in server.deadlines:
            if request_id not in sent:
                continue
            end_ms = None if left_ms is None else (at - sent[request_id]) * 1000 + left_ms
            if end_ms is None or end_ms > 1500 + SLACK_MS:
                wrong.append((request_id, left_ms, end_ms))
    assert not wrong, wrong[:10]


CASES = {case.__name__: case for case in (
    one_request_reaches_no_more_servers_than_its_route_allows, servers_get_no_more_time_than_is_left)}


if __name__ == "__main__":
    run_case(__doc__, CASES, engines=5, services=5)
