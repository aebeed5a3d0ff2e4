#!/usr/bin/env python3
"""Command line: help, exit codes, and one clear line for each mistake (docs/operators/commands.md)."""
import argparse
import json
import os
import re
import signal
import socket
import subprocess
import sys
import tempfile
import time

ROOT = os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..")
sys.path.insert(0, os.path.join(ROOT, "scripts", "lib"))
from deployment import Deployment, call  # noqa: E402

COMMANDS = ("entry", "agent", "settings", "status", "timeline", "drain", "version")
STORE = ["--store", "127.0.0.1:1"]
TRACES = ("terminate called", "what():", "std::", "exception", "Traceback")


def run(binary, *arguments):
    done = subprocess.run([binary, *arguments], stdout=subprocess.PIPE, stderr=subprocess.PIPE, timeout=20, check=False)
    return done.returncode, done.stdout.decode(), done.stderr.decode()


def refused(binary, code, parts, *arguments):
    """The command ends with the code and one line on standard error that holds all parts."""
    got, out, error = run(binary, *arguments)
    place = "%s: exit %d\n%s%s" % (" ".join(arguments), got, out, error)
    assert got == code, place
    assert out == "" and error.count("\n") == 1 and error.startswith("endiveroad"), place
    assert all(part in error for part in parts), place
    assert not any(trace in error for trace in TRACES), place


def check_help(binary):
    code, usage, _ = run(binary, "--help")
    assert code == 0 and all("\n  " + command in usage for command in COMMANDS), usage
    for command in COMMANDS:
        code, text, error = run(binary, command, "--help")
        assert code == 0 and error == "" and "Usage:" in text and "endiveroad " + command in text, text
        bare = re.findall(r"^ +(?:-\w, )?--\S+(?: arg)?\s*$", text, re.MULTILINE)
        assert not bare, "options without a description: %s" % bare
    with open(os.path.join(ROOT, "docs", "operators", "commands.md"), encoding="utf-8") as stream:
        page = stream.read()
    for command in COMMANDS:
        assert "## " + command in page, command


def check_usage(binary):
    assert run(binary)[0] == 2
    refused(binary, 2, ["nonsense", "--help"], "nonsense")
    for command in COMMANDS:
        refused(binary, 2, ["nonsense"], command, "--nonsense")
    refused(binary, 2, ["extra"], "version", "extra")
    refused(binary, 2, ["--name"], "entry", *STORE)
    refused(binary, 2, ["--store", "--peer"], "entry", "--name", "a")
    refused(binary, 2, ["--store", "nowhere"], "entry", "--name", "a", "--store", "nowhere")
    refused(binary, 2, ["--peer", "10.0.0.1:99999"], "agent", "--name", "a", "--peer", "10.0.0.1:99999")
    refused(binary, 2, ["--peer", "IP number"], "agent", "--name", "a", "--peer", "host.example:80")
    refused(binary, 2, ["--log-level", "loud"], "entry", "--name", "a", *STORE, "--log-level", "loud")
    refused(binary, 2, ["--log-format", "xml"], "agent", "--name", "a", *STORE, "--log-format", "xml")
    refused(binary, 2, ["--at"], "status")
    refused(binary, 2, ["--at"], "drain", "--at", "x")
    refused(binary, 2, ["since", "yesterday"], "timeline", "--at", "127.0.0.1:1", "--since", "yesterday")
    refused(binary, 2, ["--limit", "-5"], "timeline", "--at", "127.0.0.1:1", "--limit=-5")
    refused(binary, 2, ["--wait-revision", "soon"], "status", "--at", "127.0.0.1:1", "--wait-revision", "soon")
    refused(binary, 2, ["--timeout"], "status", "--at", "127.0.0.1:1", "--wait-revision", "3", "--timeout", "1.5")
    refused(binary, 1, ["no-such-keys", "file_unreadable"], "entry", "--name", "a", *STORE, "--key-file", "no-such-keys")
    refused(binary, 2, ["dance"], "settings", "dance", "/")


def check_files(binary, directory):
    refused(binary, 1, [directory + "/none", "file_unreadable"], "settings", "validate", directory + "/none")
    os.symlink(directory + "/nothing-here", directory + "/organisation.json")
    refused(binary, 1, ["organisation.json", "file_unreadable"], "settings", "validate", directory)
    os.remove(directory + "/organisation.json")
    with open(directory + "/organisation.json", "w", encoding="utf-8") as stream:
        stream.write("{ nonsense")
    refused(binary, 4, ["organisation.json", "settings_invalid"], "settings", "validate", directory)
    for command in ("status", "timeline", "drain"):
        refused(binary, 5, ["127.0.0.1:1", "peer_unavailable"], command, "--at", "127.0.0.1:1")
    refused(binary, 5, ["127.0.0.1:1", "store_unavailable"], "settings", "apply", ROOT + "/examples/caprock", *STORE)


def check_node(deployment):
    """A taken port ends the process with one line; an undeclared name is told in the log and waits."""
    deployment.ports.release()
    deployment.add("kv", [deployment.standin, "kv", "--listen", deployment.store])
    deployment.wait_for(lambda: call("GET", deployment.store, "/stats")[0] == 200, "the key-value stand-in")
    deployment.apply()
    entry, address = next(iter(deployment.entries.items()))
    with socket.socket() as holder:
        holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        holder.bind((address.split(":")[0], int(address.split(":")[1])))
        holder.listen()
        code, _, error = run(deployment.binary, "entry", "--name", entry, "--store", deployment.store)
        last = error.splitlines()[-1]
        assert code == 1 and address in last and "address_in_use" in last, error
        assert not any(trace in error for trace in TRACES), error
    command = [deployment.binary, "entry", "--name", "nobody", "--store", deployment.store, "--log-format", "json"]
    undeclared = subprocess.Popen(command, stdout=subprocess.PIPE, text=True)
    try:
        names = [json.loads(undeclared.stdout.readline())["name"] for _ in range(4)]
        assert names == ["AccessOpen", "ProcessStarted", "SettingsInForce", "NotDeclared"], names
        time.sleep(0.1)
        assert undeclared.poll() is None
        undeclared.send_signal(signal.SIGTERM)
        assert undeclared.wait(timeout=10) == 0
    finally:
        undeclared.kill()
        undeclared.wait()


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--bin", required=True)
    parser.add_argument("--standin", required=True)
    arguments = parser.parse_args()
    check_help(arguments.bin)
    check_usage(arguments.bin)
    with tempfile.TemporaryDirectory() as directory:
        check_files(arguments.bin, directory)
    deployment = Deployment(arguments.bin, arguments.standin, "caprock", limit=1)
    try:
        check_node(deployment)
    finally:
        deployment.close()
    return 0


if __name__ == "__main__":
    sys.exit(main())
