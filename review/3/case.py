"""The configuration removes the route of a batch job; its results have to stay readable."""
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib"))
from case import CannotRun, main  # noqa: E402
import hosted  # noqa: E402

CONFIG_APPLY_S = 2.0
SETTLE_S = 1.0
WATCH_S = 8.0


def run(case):
    deployment = case.deployment
    items = hosted.names("item", 8)
    case.submit("job-1", items)
    seen = []
    end = time.monotonic() + 15
    while len(seen) < len(items) and time.monotonic() < end:
        seen += case.read(deployment.entries[0], "job-1", len(seen), 500)[1]
    if len(seen) < len(items):
        raise CannotRun("the job brought no results")
    # Every machine has run undisturbed for StableMs when the change comes.
    time.sleep(3.0)
    routes = hosted.configuration(2)["Routes"]
    removed = "job" if case.has_trouble else "once"
    deployment.platform.configure(2, [route for route in routes if route["Name"] != removed])
    case.note("acknowledged: configuration 2 without the route %s" % removed)
    time.sleep(CONFIG_APPLY_S + SETTLE_S)
    held = True
    end = time.monotonic() + WATCH_S
    while time.monotonic() < end:
        for entry in deployment.entries:
            status, results = case.read(entry, "job-1")
            if status in (404, 410):
                case.note("LOST: %s answers %d for job-1, whose results had been read" % (entry.name, status))
                held = False
            elif status == 200 and results != seen:
                case.note("LOST: results that had been read do not come again")
                held = False
        time.sleep(0.5)
    return held


main(run, FOLDER)
