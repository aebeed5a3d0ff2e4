#!/usr/bin/env python3
"""Settings on real processes: spread, conflicts, lost answers, an outage with a restart, calls per process."""
import argparse
import json
import os
import subprocess
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..", "scripts", "lib"))
from deployment import Deployment, call  # noqa: E402

EXIT_CONFLICT = 3


def settings(deployment, *arguments):
    return subprocess.run([deployment.binary, "settings", *arguments, "--store", deployment.store],
                          stdout=subprocess.PIPE, stderr=subprocess.PIPE, text=True, timeout=30, check=False)


def set_slots(deployment, slots):
    path = os.path.join(deployment.settings_dir, "organisation.json")
    with open(path, encoding="utf-8") as stream:
        node = json.load(stream)
    node["call"]["drainTimeoutMs"] = slots
    with open(path, "w", encoding="utf-8") as stream:
        json.dump(node, stream)


def revisions(deployment, names):
    return [(deployment.status(name) or {}).get("revision") for name in names]


def wait_for_revision(deployment, names, revision):
    """Seconds until all the processes have the revision."""
    began = time.monotonic()
    deployment.wait_for(lambda: revisions(deployment, names) == [revision] * len(names),
                        "revision %d, last seen %s" % (revision, revisions(deployment, names)), seconds=15)
    return time.monotonic() - began


def check_apply(deployment, names):
    set_slots(deployment, 20000)
    planned = settings(deployment, "plan", deployment.settings_dir)
    assert "/call/drainTimeoutMs" in planned.stdout, planned
    applied = settings(deployment, "apply", deployment.settings_dir, "--expect-revision", "1")
    assert applied.returncode == 0, applied.stderr
    seconds = wait_for_revision(deployment, names, 2)
    stale = settings(deployment, "apply", deployment.settings_dir, "--expect-revision", "1")
    assert stale.returncode == EXIT_CONFLICT, stale
    assert "your change would be" in stale.stderr, stale.stderr
    return seconds


def check_lost_answer(deployment, names):
    set_slots(deployment, 21000)
    # The part and the head are written; the answers to both are lost.
    call("POST", deployment.store, "/fault", {"loseAnswers": 2})
    applied = settings(deployment, "apply", deployment.settings_dir)
    assert applied.returncode == 0 and "revision 3 is in force" in applied.stdout, applied
    wait_for_revision(deployment, names, 3)
    assert len(settings(deployment, "history").stdout.splitlines()) == 3


def check_outage(deployment, names):
    """A process that starts again while the service hangs gets the revision of its peers."""
    call("POST", deployment.store, "/fault", {"outageMs": 6000, "hangs": True})
    entry = list(deployment.entries)[-1]
    deployment.processes[entry].restart()
    seconds = wait_for_revision(deployment, names, 3)
    time.sleep(max(0, 6 - seconds))
    call("POST", deployment.store, "/fault", {"outageMs": 0, "hangs": False})
    rolled = settings(deployment, "rollback", "1")
    assert rolled.returncode == 0 and "revision 4 is in force" in rolled.stdout, rolled
    wait_for_revision(deployment, names, 4)
    return seconds


def store_calls(deployment, names):
    return sum(deployment.status(name)["storeCalls"] for name in names)


def check_call_rate(deployment, names, seconds=4):
    """Two watchers of the region make a few calls a second; all others none."""
    before = store_calls(deployment, names)
    time.sleep(seconds)
    rate = (store_calls(deployment, names) - before) / seconds
    assert rate <= 2 * 2.5, rate
    return rate


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--bin", required=True)
    parser.add_argument("--standin", required=True)
    arguments = parser.parse_args()
    deployment = Deployment(arguments.bin, arguments.standin, "caprock", limit=2)
    try:
        deployment.start()
        names = list(deployment.entries)
        for pool in deployment.pools.values():
            names += pool["replicas"]
        figures = {"spread_seconds": check_apply(deployment, names)}
        check_lost_answer(deployment, names)
        figures["restart_in_outage_seconds"] = check_outage(deployment, names)
        figures["store_calls_per_second"] = check_call_rate(deployment, names)
        print(json.dumps(figures))
    finally:
        deployment.close(keep="KEEP" in os.environ)
    return 0


if __name__ == "__main__":
    sys.exit(main())
