#!/usr/bin/env python3
"""VMs of coordinators that the operator empties and removes, while the jobs that they own are open."""
import json
import os
import signal
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..", "scripts", "lib"))
from hosted import names, run_case, wait_until  # noqa: E402
from retiring import Operator  # noqa: E402

# Time within which a VM is reported that has a coordinator to take its work over; the operator allows 8.8 s.
REPORT_S = 8.0

# Time for which a VM that has none must stay; well over what the operator allows.
STAY_S = 11.0


def hold_back_spares(deployment):
    """The last coordinator is a machine that the operator adds later."""
    deployment.spares = [deployment.coordinators.pop()]


def add_spare(deployment):
    machine = deployment.spares.pop()
    deployment.coordinators.append(machine)
    machine.start()
    return machine


class Callers:
    """Read a listed result and ask whether the entries are ready, all the while, and submit jobs on the way."""

    def __init__(self, deployment):
        self.deployment = deployment
        self.jobs = []
        self.unready = 0
        self.unread = []
        self.is_over = threading.Event()
        self.thread = threading.Thread(target=self._run)

    def __enter__(self):
        self.submit()
        self.deployment.read_all(self.jobs[0], 6)
        self.thread.start()
        return self

    def __exit__(self, kind, *_):
        self.is_over.set()
        self.thread.join()
        if kind:
            return
        assert not self.unread, self.unread
        for job in self.jobs:
            results = self.deployment.read_all(job, 6)
            assert sorted(result["Id"] for result in results) == sorted(names(job + "-item", 6)), results

    def submit(self):
        job = "job-%d" % len(self.jobs)
        self.deployment.submit(job, names(job + "-item", 6))
        self.jobs.append(job)

    def _run(self):
        while not self.is_over.is_set():
            for entry in self.deployment.entries:
                self.unready += not self.deployment.is_ready(entry)
                status, page = self.deployment.read(entry, self.jobs[0], 0, 0)
                # 502, 503 and 504: ask again.
                if status not in (200, 502, 503, 504) or (page and len(page["Results"]) != 6):
                    self.unread.append((status, page))
            time.sleep(0.05)


def check_stays(deployment, operator, machine, callers):
    """The VM is not reported, and its coordinator works on."""
    end = time.monotonic() + STAY_S
    while time.monotonic() < end:
        assert not operator.is_reported(machine), "the last coordinator gave the word for its own removal"
        callers.submit()
        time.sleep(0.5)
    assert deployment.platform.store.value("status/retire/" + machine.name), "the operator is told nothing"


def the_last_coordinator_is_asked_to_go_alone(deployment):
    """Guards against the removal of all coordinators by their own word: review/1 lost all jobs."""
    operator = Operator(deployment)
    with Callers(deployment) as callers:
        for machine in deployment.coordinators[:2]:
            operator.retire(machine)
            wait_until(lambda: operator.is_gone(machine), REPORT_S)
            callers.submit()
        operator.retire(deployment.coordinators[2])
        unready = callers.unready
        check_stays(deployment, operator, deployment.coordinators[2], callers)
        assert callers.unready == unready, "entries were not ready beside a coordinator that works"


def a_successor_of_the_last_coordinator_comes_late(deployment):
    """Guards against a VM that stays for ever, or goes before the coordinator that comes can do its work."""
    operator = Operator(deployment)
    with Callers(deployment) as callers:
        for machine in deployment.coordinators[:2]:
            operator.retire(machine)
            wait_until(lambda: operator.is_gone(machine), REPORT_S)
        last = deployment.coordinators[2]
        operator.retire(last)
        check_stays(deployment, operator, last, callers)
        successor = add_spare(deployment)
        wait_until(lambda: operator.is_gone(last), REPORT_S)
        callers.submit()
        record = json.loads(deployment.platform.store.value("endiveroad/jobs/" + callers.jobs[-1]))
        assert record["owner"] == successor.name, record


def all_coordinators_are_asked_to_go_at_once(deployment):
    """Guards against two coordinators that count on each other, and go in the same moment."""
    operator = Operator(deployment)
    with Callers(deployment) as callers:
        for machine in deployment.coordinators:
            operator.retire(machine)
        wait_until(lambda: sum(map(operator.is_gone, deployment.coordinators)) == 2, REPORT_S)
        last = next(machine for machine in deployment.coordinators if not operator.is_gone(machine))
        check_stays(deployment, operator, last, callers)
        add_spare(deployment)
        wait_until(lambda: operator.is_gone(last), REPORT_S)


def the_successor_freezes_while_it_takes_the_work_over(deployment):
    """Guards against a coordinator that goes though the one that it counted on does not work."""
    operator = Operator(deployment)
    with Callers(deployment) as callers:
        first, leaving, successor = deployment.coordinators
        operator.retire(first)
        wait_until(lambda: operator.is_gone(first), REPORT_S)
        for engine in deployment.platform.engines:
            engine.extra_s = 0.1
        for turn in range(4):
            callers.submit()
            operator.retire(leaving)
            time.sleep(0.05 + 0.1 * turn)
            successor.signal(signal.SIGSTOP)
            time.sleep(2.5)
            is_reported = operator.is_reported(leaving)
            if not is_reported:
                callers.submit()
            successor.signal(signal.SIGCONT)
            if is_reported:
                break
            operator.withdraw(leaving)
            time.sleep(1.0)
        callers.submit()


def the_store_is_away_between_request_and_report(deployment):
    """Guards against a report that rests on what was true before the outage."""
    operator = Operator(deployment)
    with Callers(deployment) as callers:
        first, second, last = deployment.coordinators
        operator.retire(first)
        wait_until(lambda: operator.is_gone(first), REPORT_S)
        deployment.platform.store.mode = "silent"
        operator.retire(second)
        operator.retire(last)
        time.sleep(4.0)
        deployment.platform.store.mode = "up"
        wait_until(lambda: operator.is_gone(second) or operator.is_gone(last), REPORT_S)
        last = last if operator.is_gone(second) else second
        check_stays(deployment, operator, last, callers)


def a_machine_comes_back_under_the_name_of_one_that_went(deployment):
    """Guards against a request that stays listed, and removes the next machine of that name as well."""
    operator = Operator(deployment)
    with Callers(deployment) as callers:
        machine = deployment.coordinators[0]
        operator.retire(machine)
        wait_until(lambda: operator.is_gone(machine), REPORT_S)
        operator.forget(machine)
        machine.start()
        key = "endiveroad/coordinators/" + machine.name
        wait_until(lambda: deployment.platform.store.value(key), REPORT_S)
        revision = operator.report_revision(machine)
        time.sleep(5.0)
        assert operator.report_revision(machine) == revision, "the new machine was reported for the old request"
        assert deployment.platform.store.value(key)
        operator.withdraw(machine)
        operator.retire(machine)
        wait_until(lambda: operator.report_revision(machine) > revision, REPORT_S)
        callers.submit()


def a_frozen_coordinator_is_reported_by_another(deployment):
    """Guards against a substitute that goes itself meanwhile, and against one that can't do the work."""
    operator = Operator(deployment)
    with Callers(deployment) as callers:
        frozen, other, last = deployment.coordinators
        frozen.signal(signal.SIGSTOP)
        operator.retire(frozen)
        operator.retire(other)
        wait_until(lambda: operator.is_gone(frozen) and operator.is_gone(other), 2 * REPORT_S)
        operator.retire(last)
        check_stays(deployment, operator, last, callers)


def calls_are_refused_while_no_coordinator_stands(deployment):
    """Guards against entries that serve nobody, and hold requests that can't be served, once all coordinators are lost."""
    deployment.submit("job-lost", names("lost", 4))
    for machine in deployment.coordinators:
        machine.kill()
    wait_until(lambda: not deployment.platform.store.keys("endiveroad/coordinators/"), 12)
    entry = deployment.entries[0]
    wait_until(lambda: deployment.is_ready(entry), 6)
    assert deployment.call(entry, "plain")[0] == 200
    began = time.monotonic()
    status, _, headers = deployment.request(entry, "GET", "/lots/job-lost?After=0")
    assert status == 503 and float(headers["Retry-After"]) > 0, (status, headers)
    assert time.monotonic() - began < 0.3, "the rejection came late"
    add_spare(deployment)
    assert len(deployment.read_all("job-lost", 4)) == 4


CASES = {case.__name__: case for case in (
    the_last_coordinator_is_asked_to_go_alone, a_successor_of_the_last_coordinator_comes_late,
    all_coordinators_are_asked_to_go_at_once, the_successor_freezes_while_it_takes_the_work_over,
    the_store_is_away_between_request_and_report, a_machine_comes_back_under_the_name_of_one_that_went,
    a_frozen_coordinator_is_reported_by_another, calls_are_refused_while_no_coordinator_stands)}


if __name__ == "__main__":
    run_case(__doc__, CASES, prepare=hold_back_spares, coordinators=4)
