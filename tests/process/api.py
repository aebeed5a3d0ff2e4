#!/usr/bin/env python3
"""Sends the examples of docs/API.md to real processes, through each entry, and compares the answers with the page's."""
import argparse
import http.client
import json
import os
import re
import shlex
import sys
import time

ROOT = os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..")
sys.path.insert(0, os.path.join(ROOT, "scripts", "lib"))
from deployment import Deployment  # noqa: E402


def examples():
    """(curl line, kind, status, answer) of each example, in the page's order."""
    with open(os.path.join(ROOT, "docs", "API.md"), encoding="utf-8") as stream:
        page = stream.read()
    found = re.findall(r"```sh\n(.*?)```\n\n```(json|text) (\d+)\n(.*?)```", page, re.DOTALL)
    assert len(found) == page.count("```sh"), "an example of the page has no answer beside it"
    return found


def send(line, entry):
    """Does what the curl command would do; returns (status, headers, body)."""
    words = shlex.split(line.replace("\\\n", " ").replace("$ENTRY", entry).replace("$NOW_MS", str(int(time.time() * 1000))))
    assert words.pop(0) == "curl", line
    method, url, headers, body = "GET", None, {}, None
    while words:
        word = words.pop(0)
        if word == "-X":
            method = words.pop(0)
        elif word == "-H":
            name, value = words.pop(0).split(": ", 1)
            headers[name] = value
        elif word == "-d":
            body = words.pop(0)
        else:
            assert url is None and not word.startswith("-"), line
            url = word
    address, path = url.split("/", 1)
    connection = http.client.HTTPConnection(address, timeout=30)
    connection.request(method, "/" + path, body=body, headers=headers)
    answer = connection.getresponse()
    return answer.status, answer.headers, answer.read().decode()


def shape(value):
    """Fields and types of a JSON value, without the values; whole and broken numbers count as one type."""
    if isinstance(value, dict):
        return {name: shape(part) for name, part in value.items()}
    if isinstance(value, list):
        return [shape(part) for part in value[:1]]
    return "number" if isinstance(value, (int, float)) and not isinstance(value, bool) else type(value).__name__


def check(line, kind, status, expected, entry):
    got_status, headers, body = send(line, entry)
    place = "%s\n  answered %s %s" % (line, got_status, body[:400])
    assert got_status == int(status), place
    if kind == "text":
        for expected_line in expected.splitlines():
            assert expected_line in body.splitlines(), place
        return
    wanted, got = json.loads(expected), json.loads(body)
    assert shape(got) == shape(wanted), "%s\n  the page has %s" % (place, expected)
    if "error" in wanted:
        assert got["error"]["code"] == wanted["error"]["code"], place
        assert got_status != 405 or headers["Allow"], place


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--bin", required=True)
    parser.add_argument("--standin", required=True)
    arguments = parser.parse_args()
    # Each entry gets a deployment of its own, since the page begins with a step that was not submitted before. One of
    # the entries is not the job's home and passes the calls on.
    for index in range(2):
        deployment = Deployment(arguments.bin, arguments.standin, "caprock", limit=2, engine_options=["--swap-ms", "30"])
        try:
            deployment.start()
            for example in examples():
                check(*example, list(deployment.entries.values())[index])
            print("entry %d: %d examples" % (index, len(examples())))
        finally:
            deployment.close(keep="KEEP" in os.environ)
    return 0


if __name__ == "__main__":
    sys.exit(main())
