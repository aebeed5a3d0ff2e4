#!/usr/bin/env python3
"""Text of clients that would not stay within its part of a request's head: line ends, spaces, framing, other hosts."""
import base64
import json
import os
import socket
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..", "scripts", "lib"))
from hosted import CALL_PREFIX, HOST, JOB_PREFIX, MODELS, SCORE_PREFIX, run_case  # noqa: E402
sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..", "standins"))
from hosted_servers import whole_text  # noqa: E402

HIDDEN = "hidden"
HIDDEN_REQUEST = "\r\n".join([
    "POST %shidden HTTP/1.1" % JOB_PREFIX, "Host: " + HOST, "Endiveroad-Request-Id: " + HIDDEN,
    "Endiveroad-Model: " + MODELS[0], "Content-Length: 0", "", ""])
# Ends the request in whose head it stands, and begins the hidden one. What is written after it belongs to a third one.
BREAK = "\r\nEndiveroad-Request-Id: x\r\nContent-Length: 0\r\n\r\n" + HIDDEN_REQUEST + "POST /job/rest HTTP/1.1\r\nX: "
# The same as a chunked body: it ends at once, and the hidden request follows.
CHUNKED_BREAK = ("0\r\n\r\n" + HIDDEN_REQUEST).encode()


def item_row(item, body=b"prompt", scorer=None, **fields):
    headers = {"Endiveroad-Model": MODELS[0], **fields.pop("Headers", {})}
    return {"Id": item, "Path": JOB_PREFIX + item, "Headers": headers, "Body": base64.b64encode(body).decode(),
            "Tokens": 10, "Group": "group-" + item,
            "Scorer": {"Id": "score-" + item, "Host": HOST, "Path": SCORE_PREFIX + item, "Body": "", **(scorer or {})},
            **fields}


def job_body(rows):
    return json.dumps({"Step": 0, "Model": MODELS[0], "MinVersion": 1, "TargetGroups": 1, "Items": rows}).encode()


def submit(deployment, job, rows):
    return deployment.request(deployment.entries[0], "POST", JOB_PREFIX + job, job_body(rows),
                              {"Endiveroad-Request-Id": job, "Content-Type": "application/json"})


def hiding_items():
    """Items that would have a server run another request than theirs, and the place that the refusal has to name."""
    note = {"X-Note": "x" + BREAK}
    return {
        "value": (item_row("value", Headers=note), "Headers"),
        "value-lf": (item_row("value-lf", Headers={"X-Note": ("x" + BREAK).replace("\r", "")}), "Headers"),
        "value-cr": (item_row("value-cr", Headers={"X-Note": "x\rX-Other: y"}), "Headers"),
        "value-nul": (item_row("value-nul", Headers={"X-Note": "x\0y"}), "Headers"),
        "model": (item_row("model", Headers={"Endiveroad-Model": MODELS[0] + BREAK}), "Headers"),
        "name": (item_row("name", Headers={"X-Note: x" + BREAK: "x"}), "Headers"),
        "name-colon": (item_row("name-colon", Headers={"Content-Length: 0\r\nX": "x"}), "Headers"),
        "name-empty": (item_row("name-empty", Headers={"": "x"}), "Headers"),
        "path": (item_row("path", Path="/job/path HTTP/1.1" + BREAK), "Path"),
        "path-space": (item_row("path-space", Path="/job/path-space HTTP/1.1 x"), "Path"),
        "path-fragment": (item_row("path-fragment", Path="/job/path#x"), "Path"),
        "path-host": (item_row("path-host", Path="http://other.example/job/x"), "Path"),
        "id": (item_row("id", Id="id" + BREAK), "Id"),
        "id-space": (item_row("id-space", Id=" id"), "Id"),
        "scorer-path": (item_row("scorer-path", scorer={"Path": "/score/x HTTP/1.1" + BREAK}), "Scorer.Path"),
        "scorer-id": (item_row("scorer-id", scorer={"Id": "x" + BREAK}), "Scorer.Id"),
        "scorer-host": (item_row("scorer-host", scorer={"Host": HOST + "\r\nX: y"}), "Scorer.Host"),
        "framing-list": (item_row("framing-list", CHUNKED_BREAK, Headers={"Transfer-Encoding": "chunked, x"}), "Headers"),
        "framing-gzip": (item_row("framing-gzip", CHUNKED_BREAK, Headers={"transfer-encoding": "gzip, chunked"}), "Headers"),
        "framing-space": (item_row("framing-space", CHUNKED_BREAK, Headers={"Transfer-Encoding ": "chunked"}), "Headers"),
        "framing-tab": (item_row("framing-tab", CHUNKED_BREAK, Headers={"Transfer-Encoding\t": "chunked"}), "Headers"),
        "framing-fold": (item_row("framing-fold", CHUNKED_BREAK, Headers={" Transfer-Encoding": "chunked"}), "Headers"),
        "length": (item_row("length", HIDDEN_REQUEST.encode(), Headers={"Content-Length": "0"}), "Headers"),
        "length-space": (item_row("length-space", HIDDEN_REQUEST.encode(), Headers={"Content-Length ": "0"}), "Headers"),
        "long": (item_row("long", Headers={"X-Note": "x" * 70000}), "Headers")}


def ran(deployment):
    return {request_id for server in deployment.platform.engines + deployment.platform.services
            for request_id, _, _ in server.ran}


def requests_hidden_in_items_run(deployment):
    """Guards against text of an item that a server reads as another request, or as another framing of this one."""
    statuses = {}
    sent = set()
    for name, (row, place) in hiding_items().items():
        sound = "sound-" + name
        status, body, _ = submit(deployment, "job-" + name, [item_row(sound), row])
        sent |= {sound, "score-" + sound, row["Id"], row["Scorer"]["Id"]}
        statuses[name] = (status, place, body.decode())
    # Longer than the first runs of all items, had they been accepted.
    time.sleep(4)
    foreign = ran(deployment) - sent
    assert not foreign, "requests ran that no client sent: %s" % sorted(foreign)
    for name, (status, place, body) in statuses.items():
        assert status == 400, (name, status, body)
        assert "Items[1]." + place in json.loads(body)["Detail"], (name, body)
    assert not ran(deployment), "items of refused jobs ran: %s" % sorted(ran(deployment))
    assert deployment.submit("job-after", ["after"]) == [202]
    assert deployment.read_all("job-after", 1)[0]["State"] == "completed"


def items_keep_their_headers_but_those_of_a_connection(deployment):
    """Guards against items that decide about a connection between this system and a server, or where a text begins."""
    headers = {"Content-Type": "text/plain", "hOsT": "other.example", "X-Empty": "", "X-Umlaut": "Gr\u00fc\u00dfe",
               "X-Count": 5, "Content-Length": "6", "Connection": "X-Hop, Endiveroad-Expect-Instance", "X-Hop": "1",
               "Keep-Alive": "timeout=1", "Upgrade": "h2c", "Expect": "100-continue", "TE": "trailers",
               "Trailer": "X-After", "last-event-id": "2", "Endiveroad-Expect-Instance": "another",
               "Endiveroad-Deadline-Ms": "1", "endiveroad-request-id": "another"}
    status, body, _ = submit(deployment, "job-headers", [item_row("headers", Headers=headers)])
    assert status == 202, (status, body)
    result = deployment.read_all("job-headers", 1)[0]
    assert (result["State"], result["Text"]) == ("completed", whole_text("headers")), result
    engine = next(engine for engine in deployment.platform.engines if "headers" in engine.headers_of)
    assert {body for request_id, _, body in engine.ran if request_id == "headers"} == {b"prompt"}, engine.ran
    seen = engine.headers_of["headers"]
    for name, value in {"content-type": "text/plain", "host": HOST, "x-empty": "", "x-count": "5",
                        "x-umlaut": "Gr\u00fc\u00dfe".encode().decode("latin-1"), "content-length": "6",
                        "endiveroad-model": MODELS[0], "endiveroad-expect-instance": engine.id}.items():
        assert seen.get(name) == value, (name, seen)
    for name in ("connection", "x-hop", "keep-alive", "upgrade", "expect", "te", "trailer", "transfer-encoding",
                 "last-event-id", "endiveroad-deadline-ms"):
        assert name not in seen, (name, seen)


def store_job(deployment, job, rows):
    """Leaves a job as an earlier version stored it; its owner is gone."""
    record = {"owner": "coordinator-gone", "host": HOST, "route": "job", "submittedMs": int(time.time() * 1000),
              "isEnded": False, "items": len(rows), "maxAttempts": 3, "maxScoringAttempts": 3, "isSingleVersion": False,
              "resultDueMs": 20000, "maxQueueMs": 60000, "configuration": 1}
    store = deployment.platform.store
    deployment.platform.run(store.write("endiveroad/bodies/%s/00000000" % job, job_body(rows).decode()))
    deployment.platform.run(store.write("endiveroad/jobs/" + job, json.dumps(record)))


def a_stored_job_has_items_that_hide_requests(deployment):
    """Guards against jobs that were accepted before their items were checked: such an item ends, the others go on."""
    hiding = {row["Id"]: row for row, _ in hiding_items().values()}
    rows = [item_row("stored-1"), *hiding.values(), item_row("stored-2")]
    store_job(deployment, "job-stored", rows)
    results = deployment.read_all("job-stored", len(rows))
    states = {result["Id"]: result["State"] for result in results}
    assert states == {**{item: "terminated" for item in hiding}, "stored-1": "completed", "stored-2": "completed"}, states
    sound = {"stored-1", "stored-2", "score-stored-1", "score-stored-2"}
    assert ran(deployment) == sound, sorted(ran(deployment) - sound)
    ended = [machine.name for machine in deployment.machines() if machine.handle.poll() is not None]
    assert not ended, ended


def exchange(deployment, request):
    """Sends the bytes over a connection of its own and returns the status of the answer."""
    with socket.create_connection((deployment.entries[0].address, deployment.port + 1), timeout=10) as connection:
        connection.sendall(request)
        answer = connection.recv(65536)
    return int(answer.split(b" ", 2)[1]) if answer else 0


def calls_that_no_head_can_carry(deployment):
    """Guards against calls that a server gets with another target or host, and that count as the server's failures."""
    def head(request_id, first=None, lines=()):
        first = first or b"POST " + CALL_PREFIX.encode() + b"x HTTP/1.1"
        return b"\r\n".join([first, b"Host: " + HOST.encode(), b"Endiveroad-Request-Id: " + request_id,
                             b"Endiveroad-Deadline-Ms: 3000", b"Content-Length: 1", *lines, b"", b"x"])

    for prefix in (CALL_PREFIX, "/stream/"):
        plays = {
            "fragment": head(b"fragment", b"POST %sx#y HTTP/1.1" % prefix.encode()),
            "not-ascii": head(b"not-ascii", b"POST %sx\x85y HTTP/1.1" % prefix.encode()),
            "two-hosts": head(b"two-hosts", b"POST %sx HTTP/1.1" % prefix.encode(), [b"Host: other.example"]),
            "trace": head(b"trace", b"TRACE %sx HTTP/1.1" % prefix.encode())}
        for name, request in plays.items():
            for _ in range(8):
                assert exchange(deployment, request) == 400, (prefix, name)
    assert not ran(deployment), ran(deployment)
    for number in range(8):
        assert deployment.call(deployment.entries[0], "after-%d" % number)[0] == 200
    failures = 0
    for machine in deployment.entries:
        with open(machine.log_path, encoding="utf-8") as log:
            failures += sum('"CallAttemptFailed"' in line for line in log)
    assert failures == 0, "%d attempts at servers failed" % failures


CASES = {case.__name__: case for case in (
    requests_hidden_in_items_run, items_keep_their_headers_but_those_of_a_connection,
    a_stored_job_has_items_that_hide_requests, calls_that_no_head_can_carry)}


if __name__ == "__main__":
    run_case(__doc__, CASES)
