#!/usr/bin/env python3
"""Items whose runs always fail, while their jobs change owners, or in one job after the other."""
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..", "scripts", "lib"))
from hosted import run_case, wait_until  # noqa: E402

# MaxAttempts of the route in hosted.py.
MAX_ATTEMPTS = 3
# No item reaches a replica again after so many answers of 500, or of 422.
ALLOWED_FAILURES = 3 * MAX_ATTEMPTS
ALLOWED_UNPROCESSABLE = 3


def runs_of(deployment, item):
    return sum(1 for engine in deployment.platform.engines for ran, _, _ in engine.ran if ran == item)


def owner_of(deployment, item):
    """The coordinator that placed the item last, as its log tells."""
    last = ("", None)
    for machine in deployment.coordinators:
        with open(machine.log_path, encoding="utf-8") as log:
            for line in log:
                if '"ItemPlaced"' in line and '"%s"' % item in line:
                    last = max(last, (line.split('"time":"')[1].split('"')[0], machine), key=lambda entry: entry[0])
    return last[1]


def failing_items_begin_anew_at_each_owner(deployment):
    for engine in deployment.platform.engines:
        engine.always_fails = {"doomed"}
        # Time to end the owner before it gives the item up.
        engine.extra_s = 0.4
    assert deployment.submit("job-doomed", ["sound", "doomed"]) == [202]
    for failures in range(2, 2 * ALLOWED_FAILURES, 2):
        try:
            wait_until(lambda seen=failures: runs_of(deployment, "doomed") >= seen, 6)
        except AssertionError:
            break
        owner = owner_of(deployment, "doomed")
        owner.kill()
        time.sleep(0.3)
        owner.start()
    results = deployment.read_all("job-doomed", 2, patience_s=40)
    assert {result["Id"]: result["State"] for result in results} == {"sound": "completed", "doomed": "terminated"}
    runs = runs_of(deployment, "doomed")
    assert runs <= ALLOWED_FAILURES, "the item reached replicas %d times, %d are allowed" % (runs, ALLOWED_FAILURES)


def repeat_in_jobs(deployment, allowed):
    """One job after the other has the item and ends before its results are read."""
    for number in range(3 * allowed):
        before = runs_of(deployment, "doomed")
        job = "job-%d" % number
        deployment.submit(job, ["partner-%d" % number, "doomed"])
        end = time.monotonic() + 1.0
        while runs_of(deployment, "doomed") == before and time.monotonic() < end:
            time.sleep(0.01)
        deployment.end(job)
    runs = runs_of(deployment, "doomed")
    assert runs <= allowed, "the item reached replicas %d times, %d are allowed" % (runs, allowed)


def failing_items_begin_anew_in_each_job(deployment):
    for engine in deployment.platform.engines:
        engine.always_fails = {"doomed"}
    repeat_in_jobs(deployment, ALLOWED_FAILURES)


def unprocessable_items_begin_anew_in_each_job(deployment):
    for engine in deployment.platform.engines:
        engine.unprocessable = {"doomed"}
    repeat_in_jobs(deployment, ALLOWED_UNPROCESSABLE)


CASES = {case.__name__: case for case in (failing_items_begin_anew_at_each_owner, failing_items_begin_anew_in_each_job,
                                          unprocessable_items_begin_anew_in_each_job)}


if __name__ == "__main__":
    run_case(__doc__, CASES)
