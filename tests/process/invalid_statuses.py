#!/usr/bin/env python3
"""Servers in trouble whose answers are none: a status that HTTP doesn't know, no stamp, or an interim answer before it."""
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..", "scripts", "lib"))
from hosted import MODELS, names, run_case, wait_until  # noqa: E402
sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..", "standins"))
from hosted_servers import event_text, event_count, stamp, whole_text  # noqa: E402

# RFC 9110, section 15: a status is from 100 to 599. 101 is no answer to a request without Upgrade.
WRONG_STATUSES = ("000", "099", "101", "600", "999")
INTERIM_STATUSES = ("100", "102", "103")
MAX_ATTEMPTS = 3
CALLS = 6


def runs_of(servers, request):
    return sum(row[0] == request for server in servers for row in server.ran)


def stream(deployment, request, entry=0):
    return deployment.request(deployment.entries[entry], "POST", "/stream/x", b"body", {
        "Endiveroad-Request-Id": request, "Endiveroad-Deadline-Ms": "3000", "Endiveroad-Model": MODELS[0]})


def calls_get_no_answer_without_a_valid_status(deployment):
    """Guards against an answer with status 000 that reaches the caller."""
    services = deployment.platform.services
    for wrong in WRONG_STATUSES:
        for service in services:
            service.wrong_status = wrong
        for target, most_runs in (("/call/x", MAX_ATTEMPTS), ("/once/x", 1)):
            request = "none-%s-%s" % (wrong, target.split("/")[1])
            status, _, headers = deployment.call(deployment.entries[0], request, target)
            print(wrong, target, status, runs_of(services, request))
            assert status in (502, 504), (wrong, target, status)
            assert "Endiveroad-Upstream-Stamp" not in headers, (wrong, target, headers)
            assert 1 <= runs_of(services, request) <= most_runs, (wrong, target)
        # The other server is sound, so a request that may be repeated is served.
        services[0].wrong_status = None
        for number in range(CALLS):
            request = "some-%s-%d" % (wrong, number)
            status, body, headers = deployment.call(deployment.entries[number % 2], request)
            assert (status, body) == (200, b"answer to " + request.encode()), (wrong, status, body)
            assert headers["Endiveroad-Upstream-Stamp"] == stamp(request)


def streams_get_no_head_without_a_valid_status(deployment):
    """Guards against a head with status 000 in place of a stream."""
    engines = deployment.platform.engines
    for wrong in WRONG_STATUSES:
        for engine in engines:
            engine.wrong_status = wrong
        status, _, headers = stream(deployment, "no-stream-" + wrong)
        assert status in (502, 504) and "Endiveroad-Upstream-Stamp" not in headers, (wrong, status, headers)
        for engine in engines[:2]:
            engine.wrong_status = None
        for number in range(CALLS):
            request = "stream-%s-%d" % (wrong, number)
            status, body, _ = stream(deployment, request, number % 2)
            assert status == 200, (wrong, status)
            assert body.count(b"data: ") == event_count(request), (wrong, body)


def streams_without_a_stamp_reach_nobody(deployment):
    """Guards against a success without the server's stamp that reaches the caller of a stream."""
    engines = deployment.platform.engines
    for engine in engines:
        engine.is_unsigned = True
    status, _, _ = stream(deployment, "unsigned")
    assert status in (502, 504), status
    for engine in engines[:2]:
        engine.is_unsigned = False
    for number in range(CALLS):
        request = "signed-%d" % number
        status, body, headers = stream(deployment, request, number % 2)
        assert status == 200 and body.count(b"data: ") == event_count(request), (status, body)
        assert headers["Endiveroad-Upstream-Stamp"] == stamp(request), headers


def items_end_well_after_answers_without_a_valid_status(deployment):
    """Guards against items that end, or count as failed by their own fault, after such answers."""
    engines = deployment.platform.engines
    for engine in engines:
        engine.wrong_status = "000"
    items = names("item", 4)
    assert deployment.submit("job", items) == [202]
    time.sleep(2.0)
    print("runs in 2 s: %s" % sorted(runs_of(engines, item) for item in items))
    for engine in engines:
        engine.wrong_status = None
    results = deployment.read_all("job", len(items))
    assert all(result["State"] == "completed" and result["Text"] == whole_text(result["Id"]) for result in results)


def interim_answers_are_read_past(deployment):
    """Guards against an interim answer that is taken for the answer, and against an answer one request too late."""
    servers = deployment.platform.services + deployment.platform.engines
    for interim in INTERIM_STATUSES:
        for server in servers:
            server.interim_status = interim
        for number in range(CALLS):
            request = "call-%s-%d" % (interim, number)
            status, body, _ = deployment.call(deployment.entries[number % 2], request)
            assert (status, body) == (200, b"answer to " + request.encode()), (interim, status, body)
            request = "stream-%s-%d" % (interim, number)
            status, body, _ = stream(deployment, request, number % 2)
            last = event_text(request, event_count(request) - 1).encode()
            assert status == 200 and last in body, (interim, status, body)
        items = names("item-" + interim, 4)
        assert deployment.submit("job-" + interim, items) == [202]
        results = deployment.read_all("job-" + interim, len(items))
        assert all(result["Text"] == whole_text(result["Id"]) for result in results), results
        assert all(runs_of(deployment.platform.engines, item) == 1 for item in items)
    wait_until(lambda: all(deployment.is_ready(entry) for entry in deployment.entries), 5)


CASES = {case.__name__: case for case in (
    calls_get_no_answer_without_a_valid_status, streams_get_no_head_without_a_valid_status,
    streams_without_a_stamp_reach_nobody, items_end_well_after_answers_without_a_valid_status, interim_answers_are_read_past)}


if __name__ == "__main__":
    run_case(__doc__, CASES)
