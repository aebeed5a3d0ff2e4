"""A submission is answered 503 at both client attempts, and its items run all the same.

The platform's store carries the write of the job out, but the outage begins before its answer is sent: from then on
every call waits as long as a slow store's and is answered 503.
"""
import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
# TROUBLE=0: the same without the disruption.
HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "lib-2"))
import cases  # noqa: E402
from cases import hosted  # noqa: E402

JOB = "job-1"
ITEMS = ["item-%d" % number for number in range(4)]
DOWN_S = 6.5
SLOW_S = 4.5
# 50 times the usual 4 ms.
SLOW_ANSWER_S = 0.2
CLIENT_ATTEMPTS = 2


class FailingStore(hosted.Store):
    """Goes down when it has carried out the write of the job. That call gets no answer."""

    record = None
    is_armed = False
    is_slow = False

    async def outage(self):
        self.mode = "busy"
        self.is_slow = True
        self.record("store: down, answers 503 and slowly")
        await asyncio.sleep(SLOW_S)
        self.is_slow = False
        await asyncio.sleep(DOWN_S - SLOW_S)
        self.mode = "up"
        self.record("store: up")

    async def handle(self, request, connection):
        if self.is_slow:
            await asyncio.sleep(SLOW_ANSWER_S)
        if self.is_armed and request.path == "/kv-txn":
            keys = [row["Key"] for row in request.json().get("Puts", [])]
            if "endiveroad/jobs/" + JOB in keys:
                self.is_armed = False
                status, _ = await self.perform(request)
                self.record("store: carried out the write of the job (%d), the answer is lost" % status)
                asyncio.create_task(self.outage())
                await asyncio.sleep(3600)
        await super().handle(request, connection)


def case(deployment, record, has_trouble):
    store = deployment.platform.store
    store.record = record
    deployment.start()
    time.sleep(4)
    store.is_armed = has_trouble
    statuses = []
    for attempt in range(CLIENT_ATTEMPTS):
        entry = deployment.entries[attempt % len(deployment.entries)]
        status, retry_after = cases.submit(
            deployment, record, entry, JOB, cases.job_body([cases.item(item) for item in ITEMS]))
        statuses.append(status)
        if status == 202:
            break
        time.sleep(retry_after or 0.1)
    time.sleep(16)
    runs = [(engine.id, row[0]) for engine in deployment.platform.engines for row in engine.ran if row[0] in ITEMS]
    record("answers to the client attempts: %s" % statuses)
    record("runs of the job's items: %s" % runs)
    if not has_trouble:
        assert statuses == [202] and runs, "the job was not accepted and run in calm"
    return all(status in (429, 503, 408, 421) for status in statuses) and bool(runs)


if __name__ == "__main__":
    hosted.Store = FailingStore
    cases.run(FOLDER, case, HAS_TROUBLE)
