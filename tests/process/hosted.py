#!/usr/bin/env python3
"""The real programs on a stand-in of the shared platform: batch jobs and calls, under failures of either side."""
import http.client
import json
import os
import random
import signal
import subprocess
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..", "scripts", "lib"))
from hosted import CALL_PREFIX, HOST, MODELS, configuration, names, route, run_case, wait_until  # noqa: E402
sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..", "standins"))
from hosted_servers import event_count, stamp, whole_text  # noqa: E402


def check_results(deployment, job, items, results):
    """Each item stands once, whole, scored by its own call, and its request reached replicas unchanged."""
    assert sorted(result["Id"] for result in results) == sorted(items), results
    for result in results:
        assert result["State"] == "completed", result
        assert result["Text"] == whole_text(result["Id"]), result
        assert result["Score"] == stamp("score-" + result["Id"]), result
        assert result["Versions"] and result["Versions"] == sorted(set(result["Versions"])), result
    for engine in deployment.platform.engines:
        for item, target, body in engine.ran:
            if item in items:
                assert target == "/job/" + item and body == b"prompt of " + item.encode(), (item, target, body)


def whole_path(deployment):
    status, body, headers = deployment.call(deployment.entries[0], "call-1")
    assert (status, body) == (200, b"answer to call-1"), (status, body)
    assert headers["Endiveroad-Upstream-Stamp"] == stamp("call-1")
    assert deployment.call(deployment.entries[1], "call-2", "/nowhere/x")[0] == 404
    items = names("first", 10)
    assert deployment.submit("job-1", items) == [202]
    assert deployment.submit("job-1", items) == [202]
    check_results(deployment, "job-1", items, deployment.read_all("job-1", 10))
    assert deployment.request(deployment.entries[0], "GET", "/items/job-1?Id=first-3")[1] == b"prompt of first-3"
    deployment.end("job-1")
    deployment.end("job-1")
    assert deployment.request(deployment.entries[0], "GET", "/items/job-1?Id=first-3")[0] == 404
    assert deployment.read(deployment.entries[1], "job-1", 4)[1]["Next"] == 10
    assert deployment.read(deployment.entries[1], "job-unknown")[0] == 404


def metrics_tell_of_queues_refusals_and_latencies(deployment):
    for engine in deployment.platform.engines:
        engine.extra_s = 0.1
    deployment.submit("job-queue", names("queued", 40))

    def lines(machines):
        texts = [deployment.request(machine, "GET", "/metrics", port=deployment.port + 4)[1].decode() for machine in machines]
        return [line for text in texts for line in text.splitlines()]

    def value(machines, start):
        return sum(float(line.rsplit(" ", 1)[1]) for line in lines(machines) if line.startswith(start))

    def items(state):
        return value(deployment.coordinators, 'endiveroad_items{model="%s",state="%s"}' % (MODELS[0], state))

    wait_until(lambda: items("running") == 12, 10)
    assert items("waiting") == 28
    wait_until(lambda: items("scoring") + items("unlisted") > 0, 10)
    deployment.end("job-queue")
    wait_until(lambda: items("waiting") + items("running") == 0, 10)
    deployment.platform.store.mode = "busy"
    deployment.request(deployment.entries[0], "GET", "/lots/job-nobody", timeout=20)
    deployment.platform.store.mode = "up"
    assert deployment.call(deployment.entries[0], "astray", "/nowhere/x")[0] == 404
    assert value(deployment.entries, 'endiveroad_errors_total{code="route_unknown"}') == 1
    assert value(deployment.coordinators, 'endiveroad_errors_total{code="store_unavailable"}') >= 1
    assert value(deployment.coordinators, 'endiveroad_batch_seconds_bucket{operation="submit",le="+Inf"}') >= 1
    assert value(deployment.agents, 'endiveroad_item_run_seconds_bucket{le="+Inf"}') >= 1


def versions_are_loaded_and_named(deployment):
    items = names("old", 6)
    deployment.submit("job-old", items)
    deployment.platform.name_version(MODELS[0], 2)
    wait_until(lambda: any(engine.versions[MODELS[0]] == 2 for engine in deployment.platform.engines), 10)
    new = names("new", 6)
    deployment.submit("job-new", new, oldest=2)
    results = deployment.read_all("job-new", 6)
    assert all(result["Versions"] == [2] for result in results), results
    check_results(deployment, "job-old", items, deployment.read_all("job-old", 6))
    for engine in deployment.platform.engines:
        assert len(set(engine.holders)) <= 1, "orders of one replica came from several holders"


def coordinators_die_one_after_the_other(deployment):
    jobs = {}
    for number in range(4):
        jobs["job-%d" % number] = names("item-%d" % number, 8)
        deployment.submit("job-%d" % number, jobs["job-%d" % number])
    time.sleep(0.3)
    for coordinator in deployment.coordinators[:2]:
        coordinator.kill()
        time.sleep(1.0)
        coordinator.start()
        time.sleep(1.5)
    for job, items in jobs.items():
        check_results(deployment, job, items, deployment.read_all(job, 8))


def everything_is_killed_after_the_acknowledgement(deployment):
    items = names("kept", 8)
    deployment.submit("job-kept", items)
    for machine in deployment.machines():
        machine.signal(signal.SIGKILL)
    for machine in deployment.machines():
        machine.handle.wait()
        machine.start()
    check_results(deployment, "job-kept", items, deployment.read_all("job-kept", 8))


def store_is_away_while_a_job_runs(deployment):
    items = names("outage", 8)
    deployment.submit("job-outage", items)
    deployment.platform.store.mode = "busy"
    time.sleep(0.5)
    for number in range(10):
        assert deployment.call(deployment.entries[0], "during-%d" % number)[0] == 200
    status, _, headers = deployment.request(deployment.entries[0], "POST", "/job/refused", json.dumps({
        "Model": MODELS[0], "MinVersion": 1, "Items": []}).encode(), {"Endiveroad-Request-Id": "job-refused"})
    assert status == 503 and float(headers["Retry-After"]) > 0, (status, headers)
    time.sleep(1.5)
    deployment.platform.store.mode = "up"
    check_results(deployment, "job-outage", items, deployment.read_all("job-outage", 8))


def answers_of_the_store_are_lost(deployment):
    store = deployment.platform.store
    store.lose_answers = 3
    items = names("lost", 8)
    deployment.submit("job-lost", items)
    store.lose_answers = 6
    results = deployment.read_all("job-lost", 8)
    check_results(deployment, "job-lost", items, results)
    positions = [key for key in store.keys("endiveroad/results/job-lost/")]
    assert len(positions) == len(set(positions))


def replica_breaks_its_streams_and_goes_dark(deployment):
    engine = deployment.platform.engines[0]
    engine.cut_after = 3
    items = names("cut", 10)
    deployment.submit("job-cut", items)
    time.sleep(0.4)
    deployment.platform.engines[1].is_dark = True
    check_results(deployment, "job-cut", items, deployment.read_all("job-cut", 10))


def items_that_always_fail_are_given_up(deployment):
    for engine in deployment.platform.engines:
        engine.always_fails = {"bad-0"}
    for service in deployment.platform.services:
        service.always_fails = {"score-bad-1"}
    deployment.submit("job-bad", names("bad", 4))
    results = {result["Id"]: result for result in deployment.read_all("job-bad", 4)}
    assert results["bad-0"]["State"] == "terminated" and results["bad-1"]["State"] == "terminated", results
    assert results["bad-2"]["State"] == "completed" and results["bad-3"]["State"] == "completed", results
    runs = sum(1 for engine in deployment.platform.engines for item, _, _ in engine.ran if item == "bad-0")
    assert runs == 3, runs


def history_is_lost_and_strangers_register(deployment):
    platform = deployment.platform
    for number, value in enumerate(["not json", "{}", '{"Service":1}', '{"Service":"plain","Address":"x","State":"up"}']):
        platform.run(platform.store.write("servers/stranger-%d" % number, value))
    platform.store.compact()
    routes = [route("moved", CALL_PREFIX, "idempotent", "plain"), route("added", "/added/", "idempotent", "plain")]
    platform.configure(7, routes)
    platform.store.compact()
    wait_until(lambda: all(deployment.call(entry, "added", "/added/x")[0] == 200 for entry in deployment.entries), 4)
    assert deployment.call(deployment.entries[0], "after")[0] == 200


def malformed_records_stop_no_task(deployment):
    """Values that no writer should write, under every prefix that is read: settings apply, and jobs are taken over."""
    platform = deployment.platform
    values = ["", "not json", "[]", "5", '{"peer":5}', '{"peer":"x","failureDomain":[]}', '{"owner":7,"items":"many"}',
              '{"Model":3,"Version":"x"}', "\xff\xfe", '{"peer":"1.2.3.4:99999999999"}']
    prefixes = ["endiveroad/coordinators/", "endiveroad/jobs/", "endiveroad/crashes/", "op/version/", "op/retire/",
                "servers/", "op/"]
    platform.name_version(MODELS[0], 2)
    for prefix in prefixes:
        for number, value in enumerate(values):
            platform.run(platform.store.write("%sodd-%d" % (prefix, number), value))
    # The coordinators' registrations are read every two seconds.
    time.sleep(3.0)
    platform.configure(7, configuration(7)["Routes"] + [route("added", "/added/", "idempotent", "plain")])
    wait_until(lambda: all(deployment.call(entry, "added", "/added/x")[0] == 200 for entry in deployment.entries), 4)
    for engine in platform.engines:
        engine.extra_s = 0.05
    items = names("odd", 8)
    deployment.submit("job-odd", items)
    owner = json.loads(platform.store.value("endiveroad/jobs/job-odd"))["owner"]
    next(machine for machine in deployment.coordinators if machine.name == owner).kill()
    check_results(deployment, "job-odd", items, deployment.read_all("job-odd", 8))
    for machine in deployment.machines():
        with open(machine.log_path, encoding="utf-8") as log:
            failed = [line for line in log if '"ProcessFailed"' in line]
        assert not failed, failed[0]


def one_machine_is_turned_away_by_the_store(deployment):
    # The first coordinator by name reads for all others; its calls go through a peer.
    coordinator = deployment.coordinators[0]
    coordinator.settings["Platform.Address"] = "%s.2:9" % deployment.prefix
    coordinator.kill()
    coordinator.start()
    time.sleep(2.5)
    items = names("relayed", 8)
    deployment.submit("job-relayed", items)
    check_results(deployment, "job-relayed", items, deployment.read_all("job-relayed", 8))


def a_replica_that_starts_again_leaves_its_old_registration(deployment):
    platform = deployment.platform
    engine = platform.engines[0]
    platform.run(platform.store.write("servers/a-ghost", json.dumps(
        {**engine.registration(), "born": engine.born - 5000})))
    time.sleep(1.0)
    items = names("ghost", 10)
    deployment.submit("job-ghost", items)
    check_results(deployment, "job-ghost", items, deployment.read_all("job-ghost", 10))
    assert any(item in items for item, _, _ in engine.ran), "the replica got no item"


def requests_that_may_not_be_repeated(deployment):
    for service in deployment.platform.services:
        service.lose_answers = 2
    statuses = [deployment.call(deployment.entries[0], "once-%d" % number, "/once/x")[0] for number in range(8)]
    ran = [request for service in deployment.platform.services for request, _, _ in service.ran]
    assert len(ran) == len(set(ran)), ran
    assert set(statuses) == {200, 502} and statuses.count(502) >= 2, statuses
    for service in deployment.platform.services:
        service.lose_answers = 1
    assert all(deployment.call(deployment.entries[0], "again-%d" % number)[0] == 200 for number in range(6))


def entries_leave_without_cutting_a_request(deployment):
    for service in deployment.platform.services:
        service.extra_s = 0.3
    outcomes = []

    def caller(number):
        for turn in range(12):
            try:
                outcomes.append(deployment.call(deployment.entries[0], "leave-%d-%d" % (number, turn))[0])
            except ConnectionRefusedError:
                outcomes.append("refused")
            except OSError as error:
                outcomes.append(repr(error))

    callers = [threading.Thread(target=caller, args=(number,)) for number in range(4)]
    for thread in callers:
        thread.start()
    time.sleep(0.4)
    deployment.entries[0].signal(signal.SIGTERM)
    wait_until(lambda: not deployment.is_ready(deployment.entries[0]), 1)
    for thread in callers:
        thread.join()
    assert set(outcomes) <= {200, "refused"}, outcomes
    assert deployment.entries[0].handle.wait(timeout=9) == 0


def coordinators_stop_while_reads_wait_for_the_store(deployment):
    """The store does not answer, so reads of unknown jobs are under way when the coordinators' processes end."""
    deployment.platform.store.mode = "silent"

    def read(number):
        try:
            deployment.request(deployment.entries[number % 2], "GET", "/lots/job-waits-%d" % number)
        except (OSError, http.client.HTTPException):
            pass

    callers = [threading.Thread(target=read, args=(number,)) for number in range(60)]
    for thread in callers:
        thread.start()
        time.sleep(0.005)
    deployment.terminate_all()
    for thread in callers:
        thread.join()


def streams_pass_as_they_come_and_resume(deployment):
    deployment.platform.engines[0].cut_after = 5
    deployment.platform.engines[1].cut_after = 7
    for number in range(6):
        item = "stream-%d" % number
        connection = http.client.HTTPConnection(deployment.entries[number % 2].address, deployment.port + 1, timeout=10)
        connection.request("POST", "/stream/x", b"prompt", {"Host": HOST, "Endiveroad-Request-Id": item,
                                                            "Endiveroad-Model": MODELS[0],
                                                            "Endiveroad-Deadline-Ms": "9000"})
        response = connection.getresponse()
        started = time.monotonic()
        first = response.read1()
        pause = time.monotonic() - started
        body = first + response.read()
        assert pause < 0.2, "the first event came late"
        text = [line[6:] for line in body.decode().split("\n") if line.startswith("data: ")]
        assert "\n".join(text) == whole_text(item), (item, text)
        assert response.headers["Endiveroad-Upstream-Stamp"] == stamp(item)


def a_failure_in_place_of_a_stream_passes_unchanged(deployment):
    for engine in deployment.platform.engines:
        engine.always_fails = {"stream-fails"}
    status, body, headers = deployment.call(deployment.entries[0], "stream-fails", "/stream/x", b"prompt")
    assert (status, body) == (500, b""), (status, body)
    assert headers["Endiveroad-Request-Id"] == "stream-fails", headers
    ran = [item for engine in deployment.platform.engines for item, _, _ in engine.ran]
    assert ran == ["stream-fails"], ran


def settings_change_without_a_signal(deployment):
    entry = deployment.entries[0]
    entry.settings["Bounds.GraceS"] = 9
    with open(entry.path, "w", encoding="utf-8") as file:
        file.write("".join("%s=%s\n" % pair for pair in entry.settings.items()))

    def is_reloaded():
        with open(entry.log_path, encoding="utf-8") as log:
            return "SettingsReloaded" in log.read()

    wait_until(is_reloaded, 5)
    entry.signal(signal.SIGHUP)
    assert deployment.call(entry, "after-reload")[0] == 200


def short_items(prefix, count):
    """Ids of items of 4 to 6 events."""
    items = [item for item in names(prefix, 4000) if event_count(item) <= 6][:count]
    assert len(items) == count
    return items


def slow_but_sound_runs_end(deployment):
    """Every replica takes longer for an event than the time after which a run counts as stalled at first."""
    for engine in deployment.platform.engines:
        engine.extra_s = 1.8
    items = short_items("slow", 3)
    deployment.submit("job-slow", items)
    check_results(deployment, "job-slow", items, deployment.read_all("job-slow", 3, patience_s=60))


def replicas_that_send_bytes_but_no_events_are_left(deployment):
    deployment.platform.engines[0].is_trickling = True
    deployment.platform.engines[1].is_trickling = True
    items = short_items("trickle", 6)
    deployment.submit("job-trickle", items)
    began = time.monotonic()
    for number in range(3):
        item = "trickled-%d" % number
        status, body, _ = deployment.request(deployment.entries[0], "POST", "/stream/x", b"prompt", {
            "Endiveroad-Request-Id": item, "Endiveroad-Model": MODELS[0], "Endiveroad-Deadline-Ms": "8000"}, timeout=20)
        text = "\n".join(line[6:] for line in body.decode().split("\n") if line.startswith("data: "))
        assert (status, text) == (200, whole_text(item)), (status, body)
    assert time.monotonic() - began < 20
    check_results(deployment, "job-trickle", items, deployment.read_all("job-trickle", 6, patience_s=40))


def second_copies_of_answers_reach_nobody(deployment):
    """Servers send each answer again, some at once and some when the connection is in use again."""
    platform = deployment.platform
    for number, server in enumerate(platform.services + platform.engines):
        server.copy_after_s = 0.002 if number % 2 else 0.011
    for engine in platform.engines:
        engine.order_s = 0.03

    def caller(label):
        for turn in range(60):
            request = "%s-%d" % (label, turn)
            status, body, headers = deployment.call(deployment.entries[0], request)
            if status == 200:
                right = body == b"answer to " + request.encode()
                outcomes.append(right and headers["Endiveroad-Upstream-Stamp"] == stamp(request))

    outcomes = []
    callers = [threading.Thread(target=caller, args=("copies-%d" % number,)) for number in range(4)]
    for thread in callers:
        thread.start()
    for thread in callers:
        thread.join()
    assert all(outcomes) and len(outcomes) > 200, outcomes
    items = names("copied", 12)
    deployment.submit("job-copied", items)
    platform.name_version(MODELS[0], 2)
    check_results(deployment, "job-copied", items, deployment.read_all("job-copied", 12))
    new = names("loaded", 6)
    deployment.submit("job-loaded", new, oldest=2)
    results = deployment.read_all("job-loaded", 6)
    assert all(result["Versions"] == [2] for result in results), results
    logs = ""
    for agent in deployment.agents:
        with open(agent.log_path, encoding="utf-8") as log:
            logs += log.read()
    assert '"outcome":"accepted"' in logs
    assert '"outcome":"already holds"' not in logs, "a copy of a state was read as the answer to an order"
    assert '"ServerDown"' not in logs, "a copy of another answer was read as the replica's state"


def calls_without_a_ready_server_are_refused_at_once(deployment):
    for service in deployment.platform.services:
        service.is_leaving = True
    for number in range(40):
        deployment.call(deployment.entries[0], "last-%d" % number)
    began = time.monotonic()
    status, _, headers = deployment.call(deployment.entries[0], "refused")
    assert status == 503 and float(headers["Retry-After"]) > 0, (status, headers)
    assert time.monotonic() - began < 0.3, "the refusal came late"


def a_burst_of_calls_fills_the_servers_without_a_storm(deployment):
    """Calls of 0.3 s for 12 slots: three times what the servers can do within the callers' time."""
    for service in deployment.platform.services:
        service.extra_s = 0.3
        service.queue = 2
    outcomes = []

    def caller(number):
        began = time.monotonic()
        status, _, headers = deployment.call(deployment.entries[number % 2], "burst-%d" % number, timeout_ms=1500)
        outcomes.append((status, headers.get("Retry-After"), time.monotonic() - began))

    callers = [threading.Thread(target=caller, args=(number,)) for number in range(150)]
    for thread in callers:
        thread.start()
    for thread in callers:
        thread.join()
    served = sum(1 for status, _, _ in outcomes if status == 200)
    refused = [(retry, took) for status, retry, took in outcomes if status == 503]
    # 12 slots do 48 calls in 1.2 s. A few calls that were sent with little time left may get no answer in time.
    assert served >= 40, served
    assert len(outcomes) - served - len(refused) <= 24, outcomes
    assert all(retry and float(retry) > 0 for retry, _ in refused), refused
    early = sum(1 for _, took in refused if took < 1.0)
    assert early >= len(refused) / 2, "%d of %d refusals came early" % (early, len(refused))
    asked_in_vain = sum(service.refused for service in deployment.platform.services)
    print("served %d, refused %d, asked in vain %d" % (served, len(refused), asked_in_vain))
    assert asked_in_vain < len(outcomes), asked_in_vain


def failures_are_explained_by_the_logs(deployment):
    """Failed requests of several kinds, picked at random: each one's cause comes from the logs of all processes."""
    expected = {}
    for number in range(4):
        deployment.call(deployment.entries[number % 2], "astray-%d" % number, "/nowhere/x")
        expected["astray-%d" % number] = "caller"
    for engine in deployment.platform.engines:
        engine.always_fails = {"fails-0", "fails-1"}
    items = names("fails", 4)
    deployment.submit("job-fails", items)
    deployment.read_all("job-fails", 4)
    expected.update({"fails-0": "replica", "fails-1": "replica"})
    deployment.platform.store.mode = "busy"
    for number in range(2):
        status = deployment.request(deployment.entries[number], "POST", "/job/x", b'{"Model":"m","Items":[]}',
                                    {"Endiveroad-Request-Id": "refused-%d" % number})[0]
        assert status == 503, status
        expected["refused-%d" % number] = "store"
    deployment.platform.store.mode = "up"
    for service in deployment.platform.services:
        service.extra_s = 3
    for number in range(3):
        assert deployment.call(deployment.entries[number % 2], "slow-%d" % number, timeout_ms=400)[0] == 504
        expected["slow-%d" % number] = "replica"
    for coordinator in deployment.coordinators:
        coordinator.kill()
    for number in range(2):
        status = deployment.request(deployment.entries[number], "POST", "/job/x", b'{"Model":"m","Items":[]}', {
            "Endiveroad-Request-Id": "lonely-%d" % number, "Endiveroad-Deadline-Ms": "900"}, timeout=20)[0]
        assert status >= 500, status
        expected["lonely-%d" % number] = "system"
    time.sleep(0.3)
    logs = [machine.log_path for machine in deployment.machines()]
    explained = 0
    for request, party in random.Random(20261204).sample(sorted(expected.items()), len(expected)):
        done = subprocess.run([deployment.binary, "explain", "--cause-only", request, *logs], stdout=subprocess.PIPE,
                              timeout=20, check=False)
        verdict = done.stdout.decode().strip()
        print(request, verdict)
        explained += done.returncode == 0 and verdict.startswith("cause (%s)" % party)
    print("explained: %d of %d" % (explained, len(expected)))
    assert explained == len(expected)
    done = subprocess.run([deployment.binary, "explain", "--failed", *logs], stdout=subprocess.PIPE, timeout=20, check=False)
    lines = done.stdout.decode().splitlines()
    print(lines[-1])
    assert done.returncode == 0, lines
    assert set(expected) <= {line.split()[0] for line in lines}, lines


CASES = {case.__name__: case for case in (
    whole_path, metrics_tell_of_queues_refusals_and_latencies, versions_are_loaded_and_named, coordinators_die_one_after_the_other,
    everything_is_killed_after_the_acknowledgement, store_is_away_while_a_job_runs, answers_of_the_store_are_lost,
    replica_breaks_its_streams_and_goes_dark, items_that_always_fail_are_given_up,
    history_is_lost_and_strangers_register, one_machine_is_turned_away_by_the_store,
    a_replica_that_starts_again_leaves_its_old_registration, requests_that_may_not_be_repeated,
    entries_leave_without_cutting_a_request, failures_are_explained_by_the_logs,
    coordinators_stop_while_reads_wait_for_the_store, streams_pass_as_they_come_and_resume,
    a_failure_in_place_of_a_stream_passes_unchanged, settings_change_without_a_signal,
    slow_but_sound_runs_end, replicas_that_send_bytes_but_no_events_are_left, malformed_records_stop_no_task, second_copies_of_answers_reach_nobody, calls_without_a_ready_server_are_refused_at_once, a_burst_of_calls_fills_the_servers_without_a_storm)}


if __name__ == "__main__":
    run_case(__doc__, CASES)
