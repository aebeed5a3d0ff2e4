#!/usr/bin/env python3
"""Servers and a store that answer with bytes that never end."""
import os
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..", "scripts", "lib"))
from hosted import MODELS, names, run_case  # noqa: E402

# Memory of the smallest entry of the users' deployments, less what is in use by others.
MOST_MEMORY_MB = 100
ANSWER_KINDS = ("garbage", "header", "headers", "body", "chunk-extension", "trailer", "until-close")
STREAM_KINDS = ("event", "lines", "chunk-extension", "body")
TIMEOUT_MS = 1500
# Time after a caller's deadline by which it has its answer.
LATE_S = 0.5


def peak_memory_mb(machine):
    with open("/proc/%d/status" % machine.handle.pid, encoding="utf-8") as status:
        return next(int(line.split()[1]) for line in status if line.startswith("VmHWM")) / 1024


def check_memory(machines):
    peaks = {machine.name: round(peak_memory_mb(machine)) for machine in machines}
    assert max(peaks.values()) < MOST_MEMORY_MB, peaks


def call_at_once(deployment, count, target, label, headers=None):
    """Sends requests at the same time through all entries. Returns (status, seconds, body) of each."""
    answers = []

    def call(number):
        begun = time.monotonic()
        entry = deployment.entries[number % len(deployment.entries)]
        try:
            status, body, _ = deployment.request(
                entry, "POST", target, b"body", {"Endiveroad-Request-Id": "%s-%d" % (label, number),
                                                 "Endiveroad-Deadline-Ms": str(TIMEOUT_MS), **(headers or {})})
        except Exception as error:  # An answer that breaks off.
            status, body = 0, str(error).encode()
        answers.append((status, time.monotonic() - begun, body))

    threads = [threading.Thread(target=call, args=(number,)) for number in range(count)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return answers


def check_failures(answers, kind):
    for status, took, body in answers:
        assert status in (502, 504), (kind, status, body[:200])
        assert b'"outcome_unknown"' in body or b'"deadline_unknown"' in body, (kind, body[:200])
        assert b"the answer" in body or b"the time ran out" in body, (kind, body[:200])
        assert took < TIMEOUT_MS / 1000 + LATE_S, (kind, took)


def answers_without_end_take_no_memory(deployment):
    services = deployment.platform.services
    for kind in ANSWER_KINDS:
        for service in services:
            service.endless = kind
        check_failures(call_at_once(deployment, 24, "/call/x", kind), kind)
    # With one sound server, calls that may be repeated are answered.
    services[0].endless = None
    time.sleep(1.2)
    for number in range(4):
        assert deployment.call(deployment.entries[number % 2], "sound-%d" % number)[0] == 200
    check_memory(deployment.entries)


def streams_without_end_take_no_memory(deployment):
    for kind in STREAM_KINDS:
        for engine in deployment.platform.engines:
            engine.endless = kind
        answers = call_at_once(deployment, 12, "/stream/x", kind, {"Endiveroad-Model": MODELS[0]})
        for status, took, body in answers:
            # A stream may have begun; then it breaks off visibly, and no part of an event has passed.
            assert status in (0, 502, 504), (kind, status, body[:200])
            assert took < TIMEOUT_MS / 1000 + LATE_S, (kind, took)
    check_memory(deployment.entries)


def events_without_end_cost_no_agent(deployment):
    for number, kind in enumerate(("event", "lines")):
        faulty = deployment.platform.engines[number]
        items = names("endless-" + kind, 24)
        assert deployment.submit("job-" + kind, items[:8]) == [202]
        faulty.endless = kind
        assert deployment.submit("job-later-" + kind, items[8:]) == [202]
        for job, count in (("job-" + kind, 8), ("job-later-" + kind, 16)):
            results = deployment.read_all(job, count, patience_s=40)
            assert all(result["State"] == "completed" for result in results), results
    check_memory(deployment.machines())


def a_store_that_never_ends_costs_no_process(deployment):
    store = deployment.platform.store
    for kind in ANSWER_KINDS:
        store.endless = kind
        time.sleep(2.0)
        assert deployment.call(deployment.entries[0], "meanwhile-" + kind)[0] == 200
    check_memory(deployment.machines())
    store.endless = None
    assert 202 in deployment.submit("job-after", names("after", 4))
    assert len(deployment.read_all("job-after", 4)) == 4


CASES = {case.__name__: case for case in (
    answers_without_end_take_no_memory, streams_without_end_take_no_memory, events_without_end_cost_no_agent,
    a_store_that_never_ends_costs_no_process)}


if __name__ == "__main__":
    run_case(__doc__, CASES)
