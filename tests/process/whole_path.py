#!/usr/bin/env python3
"""The whole path on real processes: steps with weight changes, scored and attributed samples, keyed calls."""
import argparse
import json
import os
import subprocess
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..", "scripts", "lib"))
from deployment import Deployment  # noqa: E402


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--bin", required=True)
    parser.add_argument("--standin", required=True)
    arguments = parser.parse_args()
    for name, job in (("caprock", "hazard-drafts"), ("tatranet", "airtime-plans")):
        deployment = Deployment(arguments.bin, arguments.standin, name, limit=3, engine_options=["--swap-ms", "60"])
        try:
            deployment.start()
            bound = 1 if name == "caprock" else 3
            trainer = subprocess.Popen(
                deployment.trainer_command(job, steps=4, samples=24, seconds=40, staleness_bound=bound),
                stdout=subprocess.PIPE)
            service = deployment.pool_of_kind("service")
            calls = json.loads(subprocess.run(deployment.caller_command(service, rate=40, seconds=3),
                                              stdout=subprocess.PIPE, check=True).stdout)
            steps = json.loads(trainer.communicate(timeout=60)[0])
            print(name, json.dumps(steps), json.dumps(calls))
            assert steps["samples_delivered"] == steps["samples_wanted"] == 96, steps
            for count in ("duplicates", "missing", "misattributed", "stale", "unscored"):
                assert steps[count] == 0, (count, steps)
            assert calls["calls_answered"] == calls["calls"] == 120, calls
            for count in ("calls_ran_twice", "not_run_but_ran", "answered_but_lost", "wrong_answers"):
                assert calls[count] == 0, (count, calls)
        finally:
            deployment.close(keep="KEEP" in os.environ)
    return 0


if __name__ == "__main__":
    sys.exit(main())
