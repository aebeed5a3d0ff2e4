#!/usr/bin/env python3
"""Shared keys on real processes: who has none is refused, and a rotation needs no restart."""
import argparse
import os
import secrets
import subprocess
import sys

ROOT = os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..")
sys.path.insert(0, os.path.join(ROOT, "scripts", "lib"))
from deployment import Deployment, call  # noqa: E402


def write_keys(path, *keys):
    with open(os.open(path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600), "w", encoding="utf-8") as stream:
        stream.write("# keys of the test\n" + "".join(key + "\n" for key in keys))


class KeyedDeployment(Deployment):
    """A deployment whose processes and commands all have a key file."""

    def __init__(self, *arguments, **options):
        super().__init__(*arguments, **options)
        self.key_file = os.path.join(self.dir, "keys")

    def node_command(self, role, name):
        return super().node_command(role, name) + ["--key-file", self.key_file]

    def ask(self, command, name, key_file):
        arguments = [self.binary, command, "--at", self.peers[name]]
        done = subprocess.run(arguments + (["--key-file", key_file] if key_file else []), stdout=subprocess.PIPE,
                              stderr=subprocess.PIPE, timeout=20, check=False)
        return done.returncode, done.stderr.decode()

    def all_live(self):
        done = subprocess.run([self.binary, "status", "--json", "--key-file", self.key_file, "--at",
                               next(iter(self.peers.values()))], stdout=subprocess.PIPE, timeout=20, check=False)
        return done.returncode == 0 and b"unreachable" not in done.stdout and done.stdout.count(b'"live"') == len(self.peers)

    def is_ready(self):
        return self.all_live() and all(self.answers(entry) for entry in self.entries)

    def answers(self, entry):
        return call("GET", self.entries[entry], "/v1/services/closure-api/ping")[0] == 200


def has_logged(deployment, name, words):
    with open(deployment.processes[name].log_path, encoding="utf-8") as stream:
        return sum(all(word in line for word in words) for line in stream)


def check_refusals(deployment, other):
    for name in deployment.peers:
        for command in ("status", "timeline", "drain"):
            for key_file in (None, other):
                code, error = deployment.ask(command, name, key_file)
                assert code == 6 and "access_refused" in error.splitlines()[-1], (name, command, code, error)
        # The command may refuse the process's proof and end before the process has read the command's own.
        deployment.wait_for(lambda: has_logged(deployment, name, ["PeerRefused", "reason="]) >= 6,
                            name + " to have refused all six", 5)
    assert deployment.is_ready()


def check_rotation(deployment, old, new):
    loads = 1
    for keys in ((old, new), (new, old), (new,)):
        write_keys(deployment.key_file, *keys)
        loads += 1
        deployment.wait_for(lambda: all(has_logged(deployment, name, ["KeysLoaded"]) == loads
                                        for name in deployment.peers), "the keys to be read again")
        deployment.wait_for(deployment.is_ready, "all processes to be connected after a change of keys")
    gone = os.path.join(deployment.dir, "gone")
    write_keys(gone, old)
    entry = next(iter(deployment.entries))
    assert deployment.ask("status", entry, gone)[0] == 6
    os.chmod(deployment.key_file, 0o644)
    deployment.wait_for(lambda: has_logged(deployment, entry, ["KeysUnreadable", "chmod"]), "the open file to be refused")
    os.chmod(deployment.key_file, 0o600)
    assert deployment.is_ready()


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--bin", required=True)
    parser.add_argument("--standin", required=True)
    arguments = parser.parse_args()
    deployment = KeyedDeployment(arguments.bin, arguments.standin, "caprock", limit=1)
    try:
        old, new, foreign = (secrets.token_hex(32) for _ in range(3))
        write_keys(deployment.key_file, old)
        other = os.path.join(deployment.dir, "other")
        write_keys(other, foreign)
        deployment.start()
        check_refusals(deployment, other)
        check_rotation(deployment, old, new)
        for process in deployment.processes.values():
            with open(process.log_path, encoding="utf-8") as stream:
                text = stream.read()
            assert not any(key[:16] in text for key in (old, new, foreign)), process.name
    finally:
        deployment.close(keep="KEEP" in os.environ)
    return 0


if __name__ == "__main__":
    sys.exit(main())
