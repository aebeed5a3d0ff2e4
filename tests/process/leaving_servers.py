#!/usr/bin/env python3
"""Servers that say in their answers that they are leaving, while their registrations stay as they were."""
import os
import signal
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..", "scripts", "lib"))
from hosted import JOB_PREFIX, MODELS, names, run_case, wait_until  # noqa: E402

# Time for one process to tell the others.
SPREAD_S = 0.3


def call_until_answered_by(deployment, entry, service, label):
    """Calls until the service has answered one more request; returns how many it has run then. The others are slow
    meanwhile, so that the service is chosen."""
    before = len(service.ran)
    others = [other for other in deployment.platform.services if other is not service]
    for other in others:
        other.extra_s = 0.3
    for number in range(60):
        deployment.call(entry, "%s-%d" % (label, number))
        if len(service.ran) > before:
            break
    for other in others:
        other.extra_s = 0.0
    assert len(service.ran) > before, "the service got no request"
    return len(service.ran)


def calls_avoid_a_leaving_server_in_all_entries(deployment):
    leaving, staying = deployment.platform.services
    leaving.is_leaving = True
    ran = call_until_answered_by(deployment, deployment.entries[0], leaving, "first")
    time.sleep(SPREAD_S)
    for number in range(20):
        for entry in deployment.entries:
            assert deployment.call(entry, "later-%d-%s" % (number, entry.name))[0] == 200
    assert len(leaving.ran) == ran, "the leaving server got %d more requests" % (len(leaving.ran) - ran)
    assert len(staying.ran) >= 40


def a_process_that_is_cut_off_remembers_what_it_was_told(deployment):
    leaving = deployment.platform.services[0]
    entry = deployment.entries[0]
    deployment.platform.store.mode = "silent"
    for coordinator in deployment.coordinators:
        coordinator.signal(signal.SIGSTOP)
    leaving.is_leaving = True
    ran = call_until_answered_by(deployment, entry, leaving, "cut")
    for number in range(30):
        assert deployment.call(entry, "alone-%d" % number)[0] == 200
    assert len(leaving.ran) == ran, "the leaving server got %d more requests" % (len(leaving.ran) - ran)
    for coordinator in deployment.coordinators:
        coordinator.signal(signal.SIGCONT)
    deployment.platform.store.mode = "up"


def a_server_that_starts_again_is_used_again(deployment):
    same_id, new_id = deployment.platform.services
    entry = deployment.entries[0]
    for service, server_id in ((same_id, same_id.id), (new_id, new_id.id + ".1")):
        service.is_leaving = True
        ran = call_until_answered_by(deployment, entry, service, "leaves-" + server_id)
        deployment.platform.run(deployment.platform.store.erase("servers/" + service.id))
        service.be_reborn(server_id)
        # For the new registration to be read.
        time.sleep(2.0)
        assert call_until_answered_by(deployment, entry, service, "reborn-" + server_id) > ran


def items_orders_and_streams_avoid_a_leaving_replica(deployment):
    leaving = deployment.platform.engines[0]
    leaving.is_leaving = True
    # The agent asks its replica for its state every two seconds.
    time.sleep(2.6)
    items = names("stay", 16)
    assert deployment.submit("job-stay", items) == [202]
    deployment.platform.name_version(MODELS[0], 2)
    for number in range(12):
        status = deployment.request(deployment.entries[number % 2], "POST", "/stream/x", b"prompt", {
            "Endiveroad-Request-Id": "stream-%d" % number, "Endiveroad-Model": MODELS[0],
            "Endiveroad-Deadline-Ms": "9000"}, timeout=20)[0]
        assert status == 200, status
    assert all(result["State"] == "completed" for result in deployment.read_all("job-stay", 16))
    wait_until(lambda: any(engine.versions[MODELS[0]] == 2 for engine in deployment.platform.engines[1:]), 10)
    assert leaving.ran == [], "the leaving replica got %r" % leaving.ran
    assert leaving.holders == [], "the leaving replica got an order"


def runs_under_way_at_a_leaving_replica_go_on(deployment):
    for engine in deployment.platform.engines:
        engine.extra_s = 0.08
    items = names("underway", 12)
    assert deployment.submit("job-underway", items) == [202]
    leaving = deployment.platform.engines[0]
    wait_until(lambda: leaving.running > 0, 5)
    leaving.is_leaving = True
    begun = len(leaving.ran)
    assert all(result["State"] == "completed" for result in deployment.read_all("job-underway", 12))
    runs = [item for engine in deployment.platform.engines for item, target, _ in engine.ran
            if target.startswith(JOB_PREFIX)]
    assert len(runs) == len(set(runs)), "a run at the leaving replica was begun again elsewhere: %r" % runs
    assert len(leaving.ran) >= begun


CASES = {case.__name__: case for case in (
    calls_avoid_a_leaving_server_in_all_entries, a_process_that_is_cut_off_remembers_what_it_was_told,
    a_server_that_starts_again_is_used_again, items_orders_and_streams_avoid_a_leaving_replica,
    runs_under_way_at_a_leaving_replica_go_on)}


if __name__ == "__main__":
    run_case(__doc__, CASES)
