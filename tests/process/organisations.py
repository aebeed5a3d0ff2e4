#!/usr/bin/env python3
"""Callers of organisations on a stand-in of the shared platform: API keys, their removal, and who may read a job."""
import base64
import http.client
import json
import os
import signal
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..", "scripts", "lib"))
from hosted import CALL_PREFIX, HOST, JOB_PREFIX, MODELS, configuration, names, route, run_case, wait_until  # noqa: E402
sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..", "standins"))
from hosted_servers import whole_text  # noqa: E402

LAB, GUIDE, MILL = "secret-lab-1", "secret-guide-1", "secret-mill-1"
# Time in which a removed key has to be refused everywhere.
REMOVAL_S = 3.0


def rows(**keys):
    """The organisations with these keys instead of their first one."""
    return [{"Name": "lab", "ApiKeys": keys.get("lab", [LAB]), "Priority": 0},
            {"Name": "guide", "ApiKeys": keys.get("guide", [GUIDE])},
            {"Name": "mill", "ApiKeys": keys.get("mill", [MILL])}]


def prepare(deployment):
    deployment.platform.organisations = rows()
    deployment.key = LAB


def configure(deployment, version, **keys):
    """Returns when the store has acknowledged the configuration."""
    routes = configuration(version)["Routes"] + [route("open", "/open/", "idempotent", "plain", Public=True)]
    deployment.platform.organisations = rows(**keys)
    deployment.platform.configure(version, routes)
    return time.monotonic()


def call(deployment, entry, request_id, key, target=CALL_PREFIX + "x", kept=None, timeout_ms=3000, headers=None):
    return deployment.request(entry, "POST", target, b"body", {
        "Endiveroad-Request-Id": request_id, "Endiveroad-Deadline-Ms": str(timeout_ms), "X-Api-Key": key,
        **(headers or {})}, kept=kept, timeout=15)[0]


def identities(deployment, prefix):
    """What servers were told of the callers of requests whose ids begin with the prefix."""
    servers = deployment.platform.services + deployment.platform.engines
    return [identity for server in servers for identity in server.identities if identity[0].startswith(prefix)]


def told(deployment, prefix):
    return {identity[1:] for identity in identities(deployment, prefix)}


def refused_everywhere(deployment, entries, label, key, began):
    """Each entry refuses the key within REMOVAL_S of the acknowledgement, and from then on."""
    for number, entry in enumerate(entries):
        count = 0
        while call(deployment, entry, "%s-%d-%d" % (label, number, count), key) != 401:
            count += 1
            time.sleep(0.02)
            assert time.monotonic() - began < REMOVAL_S, "%s accepts a removed key" % entry.name
    assert all(call(deployment, entry, label + "-late", key) == 401 for entry in entries)


def check_no_key_is_told(deployment):
    for machine in deployment.machines():
        with open(machine.log_path, encoding="utf-8") as log:
            assert "secret-" not in log.read(), machine.name
        if machine.handle.poll() is None:
            metrics = deployment.request(machine, "GET", "/metrics", port=deployment.port + 4)[1]
            assert b"endiveroad" in metrics and b"secret-" not in metrics, machine.name
    for key, item in deployment.platform.store.items.items():
        assert key == "op/config" or b"secret-" not in base64.b64decode(item["Value"]), key


def requests_need_a_key_that_no_server_sees(deployment):
    entry = deployment.entries[0]
    configure(deployment, 2)
    wait_until(lambda: call(deployment, entry, "open-first", "", "/open/x") == 200, 4)
    forged = {"Endiveroad-Tenant": "forged", "endiveroad-request-priority": "7"}
    assert call(deployment, entry, "lab-1", LAB, headers=forged) == 200
    assert call(deployment, entry, "guide-1", GUIDE, headers=forged) == 200
    assert call(deployment, entry, "stream-lab", LAB, "/stream/x", headers={**forged, "Endiveroad-Model": MODELS[0]}) == 200
    assert call(deployment, entry, "open-1", LAB, "/open/x", headers=forged) == 200
    for number, key in enumerate(["", "unknown-key", LAB + "x", LAB.upper(), "sch\xf6n", "lab"]):
        assert call(deployment, entry, "wrong-%d" % number, key) == 401, key
    for second in (LAB, GUIDE):
        connection = deployment.connect(entry)
        connection.putrequest("POST", CALL_PREFIX + "x", skip_host=True)
        for name, value in (("Host", HOST), ("Endiveroad-Request-Id", "wrong-two" if second == GUIDE else "lab-two"),
                            ("X-Api-Key", LAB), ("x-api-key", second), ("Content-Length", "0")):
            connection.putheader(name, value)
        connection.endheaders()
        assert connection.getresponse().status == (401 if second == GUIDE else 200), second
        connection.close()
    assert call(deployment, entry, "wrong-nowhere", "unknown-key", "/lots/job-x") == 404
    items = names("item", 6)
    deployment.submit("job-keys", items)
    deployment.read_all("job-keys", 6)
    assert told(deployment, "lab-") == {("lab", "0", False)}, identities(deployment, "lab-")
    assert told(deployment, "stream-lab") == {("lab", "0", False)}, identities(deployment, "stream-")
    assert told(deployment, "guide-") == {("guide", None, False)}, identities(deployment, "guide-")
    assert told(deployment, "open-") == {(None, None, False)}, identities(deployment, "open-")
    assert told(deployment, "item-") == {("lab", "0", False)}, identities(deployment, "item-")
    assert told(deployment, "score-item-") == {(None, None, False)}, identities(deployment, "score-")
    assert not identities(deployment, "wrong-")


def a_removed_key_is_refused_on_kept_connections(deployment):
    kept = [deployment.connect(entry) for entry in deployment.entries]
    for number, connection in enumerate(kept):
        assert call(deployment, None, "before-%d" % number, LAB, kept=connection) == 200
    began = configure(deployment, 2, lab=["secret-lab-2"])
    for number, connection in enumerate(kept):
        count = 0
        while call(deployment, None, "during-%d-%d" % (number, count), LAB, kept=connection) != 401:
            count += 1
            assert time.monotonic() - began < REMOVAL_S, "a removed key is accepted on a kept connection"
        assert call(deployment, None, "after-%d" % number, LAB, kept=connection) == 401
        assert call(deployment, None, "rotated-%d" % number, "secret-lab-2", kept=connection) == 200
        connection.close()
    assert not identities(deployment, "after-")


def waiting_calls_of_a_removed_key_are_refused(deployment):
    """Forty calls of 1.5 s for twelve slots, most of which wait when their key is removed."""
    for service in deployment.platform.services:
        service.extra_s = 1.5
    outcomes = {}

    def caller(number):
        request_id = "waits-%d" % number
        target = "/once/x" if number % 2 else CALL_PREFIX + "x"
        status = call(deployment, deployment.entries[0], request_id, LAB, target, timeout_ms=7500)
        outcomes[request_id] = (status, time.monotonic())

    callers = [threading.Thread(target=caller, args=(number,)) for number in range(40)]
    for thread in callers:
        thread.start()
    time.sleep(0.4)
    began = configure(deployment, 2, lab=[])
    for thread in callers:
        thread.join()
    ran = {request for service in deployment.platform.services for request, _, _ in service.ran}
    refused = {request: at - began for request, (status, at) in outcomes.items() if status == 401}
    served = {request for request, (status, _) in outcomes.items() if status == 200}
    assert len(refused) >= 10 and max(refused.values()) < REMOVAL_S, outcomes
    assert not ran & set(refused), "calls of a removed key were sent"
    # What had been sent is finished.
    assert served and served == ran, (served, ran)


def a_submission_that_waits_for_a_coordinator_is_refused(deployment):
    outcomes = []

    def submit():
        status = call(deployment, deployment.entries[0], "job-waits", LAB, JOB_PREFIX + "job-waits", timeout_ms=7500)
        outcomes.append((status, time.monotonic()))

    for coordinator in deployment.coordinators:
        coordinator.kill()
    caller = threading.Thread(target=submit)
    caller.start()
    time.sleep(0.3)
    began = configure(deployment, 2, lab=[])
    caller.join()
    status, at = outcomes[0]
    assert status == 401 and at - began < REMOVAL_S, (status, at - began)


def a_stream_goes_on_after_its_key_is_removed(deployment):
    for engine in deployment.platform.engines:
        engine.extra_s = 0.2
    item = next(name for name in names("stream", 100) if len(whole_text(name).split("\n")) > 20)
    headers = {"Host": HOST, "Endiveroad-Request-Id": item, "Endiveroad-Model": MODELS[0], "X-Api-Key": LAB,
               "Endiveroad-Deadline-Ms": "8000"}
    connection = http.client.HTTPConnection(deployment.entries[0].address, deployment.port + 1, timeout=15)
    connection.request("POST", "/stream/x", b"prompt", headers)
    response = connection.getresponse()
    first = response.read1()
    began = configure(deployment, 2, lab=[])
    refused_everywhere(deployment, deployment.entries, "after", LAB, began)
    body = first + response.read()
    text = "\n".join(line[6:] for line in body.decode().split("\n") if line.startswith("data: "))
    assert (response.status, text) == (200, whole_text(item)), (response.status, body)
    assert call(deployment, deployment.entries[0], "again", LAB, "/stream/x") == 401


def processes_without_the_store_or_the_reader_learn_of_a_removal(deployment):
    """The store rejects one entry; then the coordinator that reads for all is frozen, and then killed."""
    entry = deployment.entries[0]
    entry.settings["Platform.Address"] = "%s.2:9" % deployment.prefix
    entry.kill()
    entry.start()
    wait_until(lambda: deployment.is_ready(entry), 10)
    assert call(deployment, entry, "before", LAB) == 200
    refused_everywhere(deployment, deployment.entries, "rejected", LAB, configure(deployment, 2, lab=[]))
    reader = deployment.coordinators[0]
    reader.signal(signal.SIGSTOP)
    refused_everywhere(deployment, deployment.entries, "frozen", GUIDE, configure(deployment, 3, lab=[], guide=[]))
    reader.signal(signal.SIGCONT)
    configure(deployment, 4)
    wait_until(lambda: all(call(deployment, each, "back", GUIDE) == 200 for each in deployment.entries), 5)
    time.sleep(2.0)
    reader.kill()
    refused_everywhere(deployment, deployment.entries, "killed", MILL, configure(deployment, 5, mill=[]))
    assert call(deployment, entry, "others", GUIDE) == 200


def jobs_belong_to_the_organisation_that_submitted_them(deployment):
    for engine in deployment.platform.engines:
        engine.extra_s = 0.1
    items = names("owned", 10)
    deployment.submit("job-owned", items)
    entry = deployment.entries[0]

    def status(method, target, key):
        return deployment.request(entry, method, target, headers={"X-Api-Key": key})[0]

    for method, target in (("GET", "/lots/job-owned"), ("GET", "/items/job-owned?Id=owned-1"), ("DELETE", "/lots/job-owned")):
        assert status(method, target, GUIDE) == 404, (method, target)
        assert status(method, target, "unknown-key") == 401, (method, target)
    stolen = deployment.request(entry, "POST", JOB_PREFIX + "job-owned", b'{"Model":"m","Items":[]}', {
        "Endiveroad-Request-Id": "job-owned", "X-Api-Key": GUIDE})[0]
    assert stolen == 404, stolen
    assert status("GET", "/lots/job-owned", LAB) == 200
    configure(deployment, 2, lab=["secret-lab-2"])
    wait_until(lambda: status("GET", "/lots/job-owned", LAB) == 401, REMOVAL_S)
    owner = json.loads(deployment.platform.store.value("endiveroad/jobs/job-owned"))["owner"]
    next(machine for machine in deployment.coordinators if machine.name == owner).kill()
    deployment.key = "secret-lab-2"
    results = deployment.read_all("job-owned", 10)
    assert sorted(result["Id"] for result in results) == sorted(items), results
    assert all(result["State"] == "completed" for result in results), results
    assert told(deployment, "owned-") == {("lab", "0", False)}, identities(deployment, "owned-")
    assert status("GET", "/lots/job-owned", GUIDE) == 404
    assert status("DELETE", "/lots/job-owned", "secret-lab-2") == 200


def a_process_without_a_confirmed_configuration_refuses_if_told_so(deployment):
    closed, unbounded = deployment.entries
    closed.settings.update({"Bounds.FailClosed": "true", "Bounds.RevokeMs": 3000})
    closed.kill()
    closed.start()
    wait_until(lambda: deployment.is_ready(closed), 10)
    configure(deployment, 2)
    wait_until(lambda: all(call(deployment, entry, "open-0", "", "/open/x") == 200 for entry in deployment.entries), 10)
    end = time.monotonic() + 5
    while time.monotonic() < end:
        assert call(deployment, closed, "calm", LAB) == 200
        time.sleep(0.05)
    deployment.platform.store.mode = "busy"
    time.sleep(4.5)
    assert call(deployment, closed, "closed", LAB) == 503
    assert call(deployment, closed, "open-1", "", "/open/x") == 200
    assert call(deployment, unbounded, "known", LAB) == 200
    assert call(deployment, unbounded, "unknown", "unknown-key") == 401
    deployment.platform.store.mode = "up"
    wait_until(lambda: call(deployment, closed, "again", LAB) == 200, 4)


def without_keys_told(case):
    def checked(deployment):
        case(deployment)
        check_no_key_is_told(deployment)
    return checked


CASES = {case.__name__: without_keys_told(case) for case in (
    requests_need_a_key_that_no_server_sees, a_removed_key_is_refused_on_kept_connections,
    waiting_calls_of_a_removed_key_are_refused, a_submission_that_waits_for_a_coordinator_is_refused,
    a_stream_goes_on_after_its_key_is_removed,
    processes_without_the_store_or_the_reader_learn_of_a_removal, jobs_belong_to_the_organisation_that_submitted_them,
    a_process_without_a_confirmed_configuration_refuses_if_told_so)}


if __name__ == "__main__":
    run_case(__doc__, CASES, prepare)
