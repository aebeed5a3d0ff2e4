#!/usr/bin/env python3
"""Coordinators that answer for batch jobs which another one has taken over without their knowing."""
import collections
import json
import os
import signal
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..", "scripts", "lib"))
from hosted import configuration, names, route, run_case, wait_until  # noqa: E402
from partitions import Partitions  # noqa: E402

JOBS = 6
ITEMS = 16

# A result that an entry has handed out longer ago than this has to be readable at every entry.
SETTLE_S = 1.0

# A process is judged once it has run, and the partition has lasted, for so long.
STABLE_S = 3.0


def record_of(deployment, job):
    return json.loads(deployment.platform.store.value("endiveroad/jobs/" + job))


def add_routes(deployment):
    """A route for each job, since the jobs of one route have one owner."""
    added = [route("job-%d" % number, "/job-%d/" % number, "rollout", "engines", ResultDueMs=20000, MaxQueueS=60)
             for number in range(JOBS)]
    deployment.platform.configure(2, configuration(2)["Routes"] + added)
    time.sleep(2.0)


def submit_slow_jobs(deployment, prefix="slow"):
    """Jobs whose items end one after the other while the case plays. Returns their owners."""
    for engine in deployment.platform.engines:
        engine.extra_s = 0.1
    jobs = ["%s-%d" % (prefix, number) for number in range(JOBS)]
    for number, job in enumerate(jobs):
        assert deployment.submit(job, names(job + "-item", ITEMS), prefix="/job-%d/" % number) == [202]
    return {job: record_of(deployment, job)["owner"] for job in jobs}


def machine_of(deployment, name):
    return next(machine for machine in deployment.machines() if machine.name == name)


def last_owner(owners):
    """The owner to which an entry that starts connects last, so that it hears its news after those of the others."""
    return max(owners.values())


def restart_gracefully(deployment, entry):
    entry.signal(signal.SIGTERM)
    entry.handle.wait()
    entry.start()
    wait_until(lambda: deployment.is_ready(entry), 5)


class Reader:
    """Reads all jobs at one entry all the while, and remembers when each result came first."""

    def __init__(self, deployment, entry, jobs):
        self.deployment = deployment
        self.entry = entry
        self.seen = {job: [] for job in jobs}
        self.statuses = collections.Counter()
        self.slowest_s = 0.0
        self.is_over = threading.Event()
        self.thread = threading.Thread(target=self._run)
        self.thread.start()

    def _run(self):
        while not self.is_over.is_set():
            for job, seen in self.seen.items():
                began = time.monotonic()
                status, page = self.deployment.read(self.entry, job, len(seen), 0)
                self.slowest_s = max(self.slowest_s, time.monotonic() - began)
                self.statuses[status] += 1
                seen += [(time.monotonic(), result) for result in page["Results"]] if page else []
            time.sleep(0.02)

    def known(self, job):
        """Results that came long enough ago."""
        before = time.monotonic() - SETTLE_S
        return [result for at, result in self.seen[job] if at < before]

    def stop(self):
        self.is_over.set()
        self.thread.join()


def missing_results(deployment, entry, reader, until):
    """Reads at an entry until then. Returns what it lacked of the results that the reader's entry has handed out."""
    missing = []
    answers = collections.Counter()
    while time.monotonic() < until:
        for job in reader.seen:
            known = reader.known(job)
            status, page = deployment.read(entry, job, 0, 0)
            results = page["Results"] if page else []
            answers[status] += 1
            if status in (404, 410) or (status == 200 and results[:len(known)] != known):
                missing.append((job, status, len(results), len(known)))
        time.sleep(0.02)
    print("answers at %s: %s, at %s: %s, slowest there %.2f s, results lacking: %d" % (
        entry.name, dict(answers), reader.entry.name, dict(reader.statuses), reader.slowest_s, len(missing)))
    return missing, answers


def a_restarted_entry_reads_at_a_partitioned_former_owner(deployment):
    """An owner that is cut from the store and the other coordinators hands out results from its memory."""
    add_routes(deployment)
    for turn in range(2):
        kept, restarted = deployment.entries if turn == 0 else reversed(deployment.entries)
        owners = submit_slow_jobs(deployment, "cut-%d" % turn)
        time.sleep(1.0)
        began = time.monotonic()
        deployment.partitions.cut_off.add(last_owner(owners))
        reader = Reader(deployment, kept, owners)
        restart_gracefully(deployment, restarted)
        time.sleep(max(0.0, began + STABLE_S + 0.5 - time.monotonic()))
        missing, answers = missing_results(deployment, restarted, reader, began + 9.0)
        reader.stop()
        assert not missing, missing[:4]
        assert answers[200] > 50 and answers[503] == 0, answers
        # Bodies and ends of the jobs of the former owner.
        for job in owners:
            listed = {result["Id"] for _, result in reader.seen[job]}
            item = next((item for item in names(job + "-item", ITEMS) if item not in listed), None)
            status = deployment.request(restarted, "GET", "/items/%s?Id=%s" % (job, item))[0] if item else 200
            assert status == 200, (job, item, status)
            ended_at = time.monotonic()
            assert deployment.request(restarted, "DELETE", "/lots/" + job)[0] == 200, job
            assert time.monotonic() < ended_at + 2.0
        deployment.partitions.cut_off.clear()
        time.sleep(2.0)


def a_paused_owner_wakes_and_answers_from_its_memory(deployment):
    """An owner that was stopped for seconds answers reads before it knows that its jobs have another owner."""
    add_routes(deployment)
    owners = submit_slow_jobs(deployment)
    time.sleep(1.0)
    former = machine_of(deployment, last_owner(owners))
    reader = Reader(deployment, deployment.entries[0], owners)
    for _ in range(2):
        former.signal(signal.SIGSTOP)
        time.sleep(5.0)
        former.signal(signal.SIGCONT)
        missing, _ = missing_results(deployment, deployment.entries[1], reader, time.monotonic() + 2.5)
        assert not missing, missing[:4]
    reader.stop()


def an_owner_without_the_store_refuses_reads(deployment):
    """A coordinator whose link to the store alone is cut, but which the others hear, turns readers away."""
    add_routes(deployment)
    owners = submit_slow_jobs(deployment)
    deployment.partitions.without_store.add(last_owner(owners))
    reader = Reader(deployment, deployment.entries[0], owners)
    missing, answers = missing_results(deployment, deployment.entries[1], reader, time.monotonic() + 8.0)
    reader.stop()
    assert not missing, missing[:4]
    assert set(answers) == {200} and set(reader.statuses) == {200}, (answers, reader.statuses)
    assert any(reader.seen.values())


def an_outage_of_the_store_hides_what_was_read(deployment):
    """Owners that can't ask the store whether they still own a job refuse reads of what had been read."""
    add_routes(deployment)
    owners = submit_slow_jobs(deployment)
    wait_until(lambda: deployment.read(deployment.entries[0], "slow-0", 0, 0)[1]["Results"], 10)
    killed = next(machine for machine in deployment.coordinators if machine.name != owners["slow-0"])
    for is_killed in (False, True):
        for mode in ("busy", "silent"):
            deployment.platform.store.mode = mode
            if is_killed and killed.handle.poll() is None:
                killed.kill()
            jobs = [job for job, owner in owners.items() if not is_killed or owner != killed.name]
            reader = Reader(deployment, deployment.entries[0], jobs)
            missing, answers = missing_results(deployment, deployment.entries[1], reader, time.monotonic() + 5.0)
            reader.stop()
            assert not missing, missing[:4]
            assert set(answers) == {200} and set(reader.statuses) == {200}, (mode, is_killed, answers, reader.statuses)
            # A caller that reads without a wait of its own has 1.5 s.
            assert reader.slowest_s < 1.5, (mode, is_killed, reader.slowest_s)
    deployment.platform.store.mode = "up"


CASES = {case.__name__: case for case in (
    a_restarted_entry_reads_at_a_partitioned_former_owner, a_paused_owner_wakes_and_answers_from_its_memory,
    an_owner_without_the_store_refuses_reads, an_outage_of_the_store_hides_what_was_read)}


def prepare(deployment):
    deployment.partitions = Partitions(deployment)


if __name__ == "__main__":
    run_case(__doc__, CASES, prepare)
