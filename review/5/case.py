"""A coordinator is partitioned from the store and from the other coordinators; meanwhile an entry is restarted."""
import base64
import json
import os
import signal
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib"))
from case import CannotRun, main  # noqa: E402
from links import CuttableCoordinators  # noqa: E402
import hosted  # noqa: E402

CUT_S = 7.4
STABLE_S = 3.0
SETTLE_S = 1.0
ROUTES = 6
ITEMS = 16
ROUNDS = 3
PAUSE_S = 4.0


def job_route(number):
    return hosted.route("job-%d" % number, "/job%d/" % number, "rollout", "engines", ResultDueMs=20000, MaxQueueS=60)


def submit(case, turn, number, entry):
    job = "lot-%d-%d" % (turn, number)
    items = hosted.names(job + "-item", ITEMS)
    rows = [{"Id": item, "Path": "/job%d/%s" % (number, item), "Headers": {"Endiveroad-Model": hosted.MODELS[0]},
             "Body": base64.b64encode(b"prompt of " + item.encode()).decode(), "Tokens": 10,
             "Scorer": {"Id": "score-" + item, "Host": hosted.HOST, "Path": hosted.SCORE_PREFIX + item, "Body": ""}}
            for item in items]
    body = json.dumps({"Step": 0, "Model": hosted.MODELS[0], "MinVersion": 1, "TargetGroups": 1, "Items": rows})
    status = case.deployment.request(entry, "POST", "/job%d/x" % number, body.encode(), {
        "Endiveroad-Request-Id": job, "Content-Type": "application/json"})[0]
    case.note("submit %s: %d, owner %s" % (job, status, case.owner_of(job)))
    if status != 202:
        raise CannotRun("a job was not accepted")
    return job


def run(case):
    deployment = case.deployment
    for engine in deployment.platform.engines:
        engine.extra_s = 0.1
    routes = hosted.configuration(2)["Routes"] + [job_route(number) for number in range(ROUTES)]
    deployment.platform.configure(2, routes)
    time.sleep(STABLE_S)
    return all([play_round(case, turn) for turn in range(ROUNDS)])


def play_round(case, turn):
    """One partition and one restart, of another entry each time. Returns whether the rule held."""
    deployment = case.deployment
    kept, restarted = deployment.entries if turn % 2 == 0 else reversed(deployment.entries)
    jobs = [submit(case, turn, number, kept) for number in range(ROUTES)]
    owners = {job: case.owner_of(job) for job in jobs}
    cut_off = max(set(owners.values()), key=list(owners.values()).count)
    time.sleep(1.0)
    began = time.monotonic()
    if case.has_trouble:
        case.links.cut_off.add(cut_off)
        threading.Timer(CUT_S, case.links.cut_off.clear).start()
    case.note("%s is partitioned from the store and the other coordinators: %s" % (cut_off, case.has_trouble))
    time.sleep(0.2)
    case.note("SIGTERM to %s" % restarted.name)
    restarted.signal(signal.SIGTERM)
    restarted.handle.wait()
    restarted.start()
    started = time.monotonic()
    case.note("%s is started again" % restarted.name)
    hosted.wait_until(lambda: deployment.is_ready(restarted), 5)
    case.note("%s is ready" % restarted.name)
    # (time, results) of what the entry that was not restarted has handed out.
    seen = {job: [] for job in jobs}
    held = True
    while time.monotonic() < began + CUT_S - 0.1:
        for job in jobs:
            asked = time.monotonic()
            known = [result for at, result in seen[job] if at + SETTLE_S < asked]
            status, results = case.read(restarted, job)
            if time.monotonic() > began + CUT_S - 0.05:
                break
            is_in_touch = asked > max(started, began) + STABLE_S
            is_lost = status in (404, 410) or (status == 200 and results[:len(known)] != known)
            if is_in_touch and is_lost:
                case.note("LOST: %s has %d results of %s (%s, owner now %s), of which %d were read over %g s ago" % (
                    restarted.name, len(results), job, owners[job], case.owner_of(job), len(known), SETTLE_S))
                held = False
            results = case.read(kept, job, len(seen[job]))[1]
            seen[job] += [(time.monotonic(), result) for result in results]
        time.sleep(0.05)
    time.sleep(max(0.0, began + CUT_S - time.monotonic()))
    case.note("the partition has ended")
    time.sleep(PAUSE_S)
    for job in jobs:
        deployment.end(job)
    return held


def play(case):
    return run(case)


def prepare(case):
    case.links = CuttableCoordinators(case.deployment)


main(play, FOLDER, prepare)
