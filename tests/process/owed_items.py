#!/usr/bin/env python3
"""Sound items of jobs under which servers ended for other reasons."""
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..", "scripts", "lib"))
from hosted import run_case, wait_until  # noqa: E402

# The users' bound: an item that no replica has is at one again after this, if there is room.
PLACED_S = 5.0


def crash_times(servers):
    return sorted(moment for server in servers for _, moment in server.crashes)


def make_crashing(servers, body):
    for server in servers:
        server.crashing_bodies.add(body)


def end_crashes(servers, count):
    """Waits until `count` servers have ended, and lets no more end; returns the time of the calm."""
    wait_until(lambda: len(crash_times(servers)) >= count, 60)
    for server in servers:
        server.crashing_bodies.clear()
    return crash_times(servers)[-1] + servers[0].down_s


def check_placed(servers, body, calm_since):
    """Other servers may have room before the last one that ended is back, so a server may have the body by then."""
    last_end = crash_times(servers)[-1]

    def arrivals():
        return [at for server in servers for at, _, reached in server.reached if reached == body and at > last_end]

    wait_until(arrivals, 40)
    placed_at = min(arrivals())
    print("ends: %d, at a server %.1f s after the calm" % (len(crash_times(servers)), placed_at - calm_since))
    assert placed_at - calm_since <= PLACED_S, "%.1f s" % (placed_at - calm_since)


def check_job(deployment, count):
    body = b"prompt of item-1"
    make_crashing(deployment.platform.engines, body)
    deployment.submit("job-owed", ["item-0", "item-1", "item-2"])
    calm_since = end_crashes(deployment.platform.engines, count)
    check_placed(deployment.platform.engines, body, calm_since)
    results = {result["Id"]: result for result in deployment.read_all("job-owed", 3)}
    assert all(result["State"] == "completed" for result in results.values()), results


def an_item_under_which_three_replicas_ended_is_not_placed_again(deployment):
    check_job(deployment, 3)


def an_item_under_which_five_replicas_ended_is_not_placed_again(deployment):
    check_job(deployment, 5)


def a_scoring_call_under_which_five_servers_ended_is_not_sent_again(deployment):
    body = b"the text of item-1"
    deployment.scoring_bodies["item-1"] = body
    services = deployment.platform.services
    make_crashing(services, body)
    deployment.submit("job-scored", ["item-0", "item-1", "item-2"])
    calm_since = end_crashes(services, 5)
    check_placed(services, body, calm_since)
    results = {result["Id"]: result for result in deployment.read_all("job-scored", 3)}
    assert all(result["State"] == "completed" for result in results.values()), results


CASES = {case.__name__: case for case in (
    an_item_under_which_three_replicas_ended_is_not_placed_again,
    an_item_under_which_five_replicas_ended_is_not_placed_again,
    a_scoring_call_under_which_five_servers_ended_is_not_sent_again)}


if __name__ == "__main__":
    run_case(__doc__, CASES, engines=4, services=4)
