#!/usr/bin/env python3
"""status and timeline over all processes of a real deployment, with processes and the key-value service away."""
import argparse
import http.client
import json
import os
import re
import subprocess
import sys
import time
import urllib.request

ROOT = os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..")
sys.path.insert(0, os.path.join(ROOT, "scripts", "lib"))
from deployment import Deployment, call  # noqa: E402


class View:
    """The product's commands, asked of one process of a deployment."""

    def __init__(self, deployment):
        self.deployment = deployment

    def run(self, name, *arguments):
        done = subprocess.run([self.deployment.binary, arguments[0], "--at", self.deployment.peers[name],
                               *arguments[1:]], stdout=subprocess.PIPE, stderr=subprocess.PIPE, timeout=30, check=False)
        return done.returncode, done.stdout.decode(), done.stderr.decode()

    def states(self, name):
        """State of each process by name, as the asked one gathers them."""
        code, out, error = self.run(name, "status", "--json")
        assert code == 0, error
        return {process["name"]: process["state"] for process in json.loads(out)["processes"]}

    def events(self, name, *arguments):
        code, out, error = self.run(name, "timeline", "--json", *arguments)
        assert code == 0, error
        lines = [json.loads(line) for line in out.splitlines()]
        stamps = [(line["wallMs"], line["counter"], line["node"]) for line in lines]
        assert stamps == sorted(stamps), stamps
        return lines


def check_status(view, names):
    for asked in (next(iter(view.deployment.entries)), names[-1]):
        assert view.states(asked) == {name: "live" for name in names}, view.states(asked)
    code, out, error = view.run(names[-1], "status")
    assert code == 0 and error == "", error
    for name in names + list(view.deployment.pools):
        assert re.search(r"^%s " % re.escape(name), out, re.MULTILINE), (name, out)


def check_sample(view, entry, address):
    """One sample is followed from its dispatch over its agent and back."""
    step = {"samples": [{"prompt": "p [len=6]", "maxTokens": 6}]}
    assert call("PUT", address, "/v1/jobs/hazard-drafts/steps/1", step)[0] == 201
    status, answer = call("POST", address, "/v1/jobs/hazard-drafts/fetch",
                          {"policyVersion": 0, "waitMs": 15000, "steps": [1]}, timeout=30)
    assert status == 200 and len(answer["samples"]) == 1, answer
    agent = answer["samples"][0]["agent"]
    lines = [line for line in view.events(entry, "--request", "hazard-drafts/1/0")
             if line["name"] in ("SampleDispatched", "SampleStarted", "SampleFinished")]
    path = [(line["name"], line["node"] == agent) for line in lines]
    assert path == [("SampleDispatched", False), ("SampleStarted", True), ("SampleFinished", True),
                    ("SampleFinished", False)], lines
    assert lines[0]["node"] == lines[-1]["node"] and len({line["fields"]["request"] for line in lines}) == 1, lines
    jobs = [line["name"] for line in view.events(agent, "--job", "hazard-drafts")]
    assert "StepSubmitted" in jobs and "SamplesDelivered" in jobs and "SampleStarted" in jobs, jobs


def check_call(view, entry, address):
    """One call is followed by the id that its caller gave it."""
    connection = http.client.HTTPConnection(address, timeout=10)
    connection.request("GET", "/v1/services/closure-api/notices/1", headers={"X-Request-Id": "ranger-42"})
    answer = connection.getresponse()
    answer.read()
    assert answer.status == 200 and answer.headers.get_all("X-Request-Id") == ["ranger-42"], answer.headers
    lines = view.events(entry, "--request", "ranger-42")
    path = [(line["name"], line["node"] == entry) for line in lines]
    assert path == [("CallDispatched", True), ("CallStarted", False), ("CallFinished", False),
                    ("CallFinished", True)], lines
    assert len({line["fields"]["request"] for line in lines}) == 1, lines


def check_metrics(view, deployment):
    """What was done before shows in the metrics of the entries and, by status, of the agents."""
    texts = {name: view.run(name, "status", "--self", "--metrics")[1] for name in deployment.peers}
    total = {}
    for name, text in texts.items():
        for line in text.splitlines():
            if not line.startswith("#"):
                metric, value = line.rsplit(" ", 1)
                total[metric] = total.get(metric, 0) + float(value)
        assert "endiveroad_settings_revision 1\n" in text, (name, text)
    with urllib.request.urlopen("http://%s/metrics" % next(iter(deployment.entries.values())), timeout=5) as answer:
        assert answer.headers["Content-Type"].startswith("text/plain; version=0.0.4")
        names = {line.split(" ")[2] for line in answer.read().decode().splitlines() if line.startswith("# TYPE")}
    assert {"endiveroad_requests_total", "endiveroad_request_seconds", "endiveroad_replicas_up"} <= names, names
    for metric, least in (('endiveroad_requests_total{kind="submit"}', 1), ('endiveroad_requests_total{kind="fetch"}', 1),
                          ('endiveroad_requests_total{kind="service"}', 1), ("endiveroad_backend_calls_total", 2),
                          ('endiveroad_request_seconds_count{kind="service"}', 1), ("endiveroad_backend_seconds_count", 2),
                          ('endiveroad_samples{job="hazard-drafts",state="wanted"}', 1),
                          ('endiveroad_held_samples{pool="ledge-lm"}', 1), ("endiveroad_peers", len(texts)),
                          ("endiveroad_store_calls_total", 2 * len(texts)),
                          ('endiveroad_events_total{event="SampleFinished",level="debug"}', 2)):
        assert total.get(metric, 0) >= least, (metric, total.get(metric))
    sent, received = (total['endiveroad_frames_total{direction="%s"}' % way] for way in ("sent", "received"))
    assert 0 < received and 0.5 < sent / received < 2, (sent, received)


def check_page(view, entry, names):
    path = os.path.join(view.deployment.dir, "timeline.html")
    code, _, error = view.run(entry, "timeline", "--html", path)
    assert code == 0, error
    with open(path, encoding="utf-8") as stream:
        page = stream.read()
    for name in names:
        assert ">%s</text>" % name in page, name
    assert "SampleDispatched" in page and "<circle" in page
    assert not re.search(r"(src|href)=|https?://|@import", page), "the page has outside parts"


def check_revision(view, entry, names):
    view.deployment.apply()
    code, out, error = view.run(entry, "status", "--json", "--wait-revision", "2", "--timeout", "10")
    assert code == 0, error
    assert {process["revision"] for process in json.loads(out)["processes"]} == {2}, out
    code, _, error = view.run(entry, "status", "--wait-revision", "99", "--timeout", "0")
    assert code == 1 and error.count("\n") == 1 and all(name in error for name in names), error


def check_outage(view, entry, names):
    """Without the key-value service and one agent the view stays, bounded in time, and names what is missing."""
    gone = names[-1]
    view.deployment.processes["kv"].kill()
    view.deployment.processes[gone].kill()
    begin = time.monotonic()
    states = view.states(entry)
    assert time.monotonic() - begin < 10
    assert states == {name: "unreachable" if name == gone else "live" for name in names}, states
    code, _, error = view.run(entry, "timeline", "--json")
    assert code == 0 and error == "endiveroad timeline: no answer from %s\n" % gone, error


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--bin", required=True)
    parser.add_argument("--standin", required=True)
    arguments = parser.parse_args()
    deployment = Deployment(arguments.bin, arguments.standin, "caprock", limit=2)
    try:
        deployment.start()
        view = View(deployment)
        names = list(deployment.entries) + [name for pool in deployment.pools.values() for name in pool["replicas"]]
        entry, address = next(iter(deployment.entries.items()))
        check_status(view, names)
        check_sample(view, entry, address)
        check_call(view, entry, address)
        check_metrics(view, deployment)
        check_page(view, entry, names)
        check_revision(view, entry, names)
        check_outage(view, entry, names)
    finally:
        deployment.close(keep="KEEP" in os.environ)
    return 0


if __name__ == "__main__":
    sys.exit(main())
