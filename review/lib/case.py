"""Frame of the review's scripts: a small deployment of the built program, a record, and the exit code.

A case module calls main(run). run(case) returns True if the rule held and False if it was broken; it raises CannotRun
if the case could not be played. TROUBLE=0 plays the same without the disruption.
"""
import os
import random
import signal
import socket
import sys
import threading
import time
import traceback

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
sys.dont_write_bytecode = True
sys.path.insert(0, os.path.join(ROOT, "scripts", "lib"))
import hosted  # noqa: E402

BINARY = os.path.join(ROOT, "target", "endiveroad")
TIME_LIMIT_S = 115


class CannotRun(Exception):
    """The case could not be played, so it shows nothing."""


class Record:
    """What was sent, answered and run, in order of time."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.began = time.monotonic()
        self.lock = threading.Lock()

    def add(self, text, is_shown=True):
        with self.lock:
            line = "%8.3f %s" % (time.monotonic() - self.began, text)
            self.file.write(line + "\n")
            if is_shown:
                self.file.flush()
                print(line, flush=True)


def is_free(host, port):
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((host, port))
        except OSError:
            return False
    return True


def free_number():
    """A number for HostedDeployment whose addresses and ports nobody uses."""
    for _ in range(50):
        number = random.randrange(1, 12000)
        prefix = "127.%d.%d" % (64 + number // 250 % 128, 1 + number % 250)
        hosts = ["%s.%d" % (prefix, part) for part in (10, 11, 12, 13, 14, 40, 41, 42, 160, 161, 162)]
        ports = [20000 + number % 20000 + offset for offset in (0, 1, 2, 4, 100)]
        if all(is_free(host, port) for host in hosts for port in ports):
            return number
    raise CannotRun("no free addresses")


class Case:
    """One play of a case."""

    def __init__(self, folder, **sizes):
        if not os.path.exists(BINARY):
            raise CannotRun("the program is not built")
        self.has_trouble = os.environ.get("TROUBLE", "1") != "0"
        self.record = Record(os.path.join(folder, "record.txt"))
        self.note = self.record.add
        self.deployment = hosted.HostedDeployment(BINARY, number=free_number(), **sizes)
        self.note("disruption: %s" % ("yes" if self.has_trouble else "no"))

    def machine(self, name):
        return next(machine for machine in self.deployment.machines() if machine.name == name)

    def owner_of(self, job):
        """The coordinator that the job's record names, or None."""
        import json  # pylint: disable=import-outside-toplevel
        text = self.deployment.platform.store.value("endiveroad/jobs/" + job)
        return json.loads(text)["owner"] if text else None

    def submit(self, job, items, **fields):
        statuses = self.deployment.submit(job, items, **fields)
        self.note("submit %s (%d items): %s" % (job, len(items), statuses))

    def read(self, entry, job, after=0, wait_ms=0):
        """Status and results of a read; (0, []) if there is no answer."""
        try:
            status, page = self.deployment.read(entry, job, after, wait_ms)
        except OSError as error:
            self.note("read %s at %s after %d: %r" % (job, entry.name, after, error))
            return 0, []
        results = page["Results"] if page else []
        self.note("read %s at %s after %d: %d, %s" % (
            job, entry.name, after, status, [result["Id"] + " " + result["State"] for result in results]))
        return status, results

    def note_runs(self):
        for server in self.deployment.platform.engines + self.deployment.platform.services:
            self.record.add("ran at %s: %s" % (server.id, [request for request, _, _ in server.ran]), is_shown=False)

    def close(self):
        self.deployment.close()
        self.record.file.close()


def on_end(*_):
    raise CannotRun("the time is up, or the script was stopped")


def main(run, folder, prepare=None, **sizes):
    for number in (signal.SIGALRM, signal.SIGTERM, signal.SIGINT):
        signal.signal(number, on_end)
    signal.alarm(TIME_LIMIT_S)
    case = None
    outcome = 2
    try:
        case = Case(folder, **sizes)
        if prepare:
            prepare(case)
        case.deployment.start()
        outcome = 0 if run(case) else 1
        case.note_runs()
        case.note("the rule %s" % ("held" if outcome == 0 else "was broken"))
    except Exception as error:  # pylint: disable=broad-except
        traceback.print_exc()
        if case:
            case.note("could not run: %r" % error)
    finally:
        signal.alarm(0)
        if case:
            case.close()
    os._exit(outcome)
