#!/usr/bin/env python3
"""Writes of batch jobs whose answers are lost: a refusal must hold for each attempt that may have taken effect."""
import asyncio
import base64
import json
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..", "scripts", "lib"))
from hosted import JOB_PREFIX, MODELS, names, run_case, wait_until  # noqa: E402

# Statuses that promise that the request has not taken effect and never will.
PROMISES = (408, 421, 429, 503)
ITEMS = names("item", 4)
OUTAGE_S = 3.0


class LostWrites:
    """The store carries out the first write of a job's record, and its answer is lost."""

    def __init__(self, store, job):
        self.store = store
        self.key = "endiveroad/jobs/" + job
        # Writes of the record so far.
        self.count = 0
        # Called after the first write, and after the second one, which is answered.
        self.on_lost = lambda: None
        self.on_repeated = lambda: None
        self.perform_soundly = store.perform
        store.perform = self.perform

    async def perform(self, request):
        answer = await self.perform_soundly(request)
        is_record = request.path == "/kv-txn" and any(row["Key"] == self.key for row in request.json().get("Puts", []))
        if is_record:
            self.count += 1
        if is_record and self.count == 1:
            assert answer[0] == 200, answer
            self.store.lose_answers = 1
            self.on_lost()
        if is_record and self.count == 2:
            self.on_repeated()
        return answer

    def begin_outage(self):
        self.store.mode = "busy"
        asyncio.get_running_loop().call_later(OUTAGE_S, self.end_outage)

    def end_outage(self):
        self.store.mode = "up"


def submission():
    rows = [{"Id": item, "Path": JOB_PREFIX + item, "Headers": {"Endiveroad-Model": MODELS[0]},
             "Body": base64.b64encode(b"prompt of " + item.encode()).decode(), "Tokens": 10, "Group": "group"}
            for item in ITEMS]
    return json.dumps({"Step": 0, "Model": MODELS[0], "MinVersion": 1, "TargetGroups": 1, "Items": rows}).encode()


def request(deployment, method, target, body=b""):
    return deployment.request(deployment.entries[0], method, target, body, {"Endiveroad-Request-Id": "job"}, 20)[0]


def submit_and_judge(deployment):
    """A client with one attempt: the job is accepted once the store is back, and never runs after a refusal."""
    status = request(deployment, "POST", JOB_PREFIX + "job", submission())
    deployment.platform.store.mode = "up"

    def ran():
        return [row[0] for engine in deployment.platform.engines for row in engine.ran if row[0] in ITEMS]

    end = time.monotonic() + 8
    while not ran() and time.monotonic() < end:
        time.sleep(0.1)
    print("answer: %s, runs: %s" % (status, sorted(ran())))
    assert not (status in PROMISES and ran()), (status, ran())
    assert status == 202, status


def a_job_whose_writer_is_killed_is_not_refused(deployment):
    """Guards against 503 for a stored job, from coordinators that the entry asks after the one that wrote it."""
    writes = LostWrites(deployment.platform.store, "job")

    def lose():
        writes.begin_outage()
        asyncio.get_running_loop().call_later(0.05, kill_writer)

    def kill_writer():
        record = json.loads(deployment.platform.store.value(writes.key))
        next(machine for machine in deployment.coordinators if machine.name == record["owner"]).kill()

    writes.on_lost = lose
    submit_and_judge(deployment)
    for coordinator in deployment.coordinators:
        if coordinator.handle.poll() is not None:
            coordinator.start()


def a_job_that_the_store_stored_before_it_went_down_is_not_refused(deployment):
    """Guards against 503 from the second coordinator after the first one's time was over."""
    store = deployment.platform.store
    writes = LostWrites(store, "job")

    def lose():
        store.delay_s = 0.2
        writes.begin_outage()

    def recover():
        store.delay_s = 0.0
        store.mode = "up"

    writes.on_lost = lose
    writes.end_outage = recover
    submit_and_judge(deployment)


def a_job_that_is_found_stored_is_not_refused(deployment):
    """Guards against 503 from the coordinator that wrote the job and can't look up afterwards who owns it."""
    writes = LostWrites(deployment.platform.store, "job")
    writes.on_repeated = writes.begin_outage
    submit_and_judge(deployment)
    assert writes.count >= 2, writes.count


def an_end_whose_writer_is_killed_is_not_refused(deployment):
    """Guards against 503 for the end of a job that has taken effect."""
    for engine in deployment.platform.engines:
        engine.extra_s = 0.5
    store = deployment.platform.store
    assert request(deployment, "POST", JOB_PREFIX + "job", submission()) == 202
    writes = LostWrites(store, "job")

    def lose():
        writes.begin_outage()
        record = json.loads(store.value(writes.key))
        owner = next(machine for machine in deployment.coordinators if machine.name == record["owner"])
        asyncio.get_running_loop().call_later(0.05, owner.kill)

    writes.on_lost = lose
    status = request(deployment, "DELETE", "/lots/job")
    is_ended = json.loads(store.value(writes.key))["isEnded"]
    print("answer: %s, ended: %s" % (status, is_ended))
    assert is_ended and status not in PROMISES, (status, is_ended)
    wait_until(lambda: store.mode == "up", 5)
    for coordinator in deployment.coordinators:
        if coordinator.handle.poll() is not None:
            coordinator.start()
    deployment.end("job")


CASES = {case.__name__: case for case in (
    a_job_whose_writer_is_killed_is_not_refused, a_job_that_the_store_stored_before_it_went_down_is_not_refused,
    a_job_that_is_found_stored_is_not_refused, an_end_whose_writer_is_killed_is_not_refused)}


if __name__ == "__main__":
    run_case(__doc__, CASES)
