"""A small deployment for the cases of the third review: the programs of the deploy file on loopback addresses, with
the project's stand-ins for the platform. Sizes and bounds are those of the sheet `sites/caprock-closures.toml`."""
import json
import os
import signal
import sys
import threading
import time
import traceback

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
sys.path.insert(0, os.path.join(ROOT, "scripts", "lib"))
import hosted  # noqa: E402
from hosted_store import Store  # noqa: E402

BINARY = os.path.join(ROOT, "target", "endiveroad")

HELD, BROKEN, NOT_RUN = 0, 1, 2

# A case that hangs ends its processes and counts as not run.
TIME_LIMIT_S = 110

# A page of a listing has at most about 500 items or 1 MB of values (PROTOCOL.md, "The platform's metadata store").
PAGE_ITEMS = 500
PAGE_BYTES = 1_000_000

# Machines of the sheet.
MEMORY_MB = {"entry": 260, "coordinator": 290, "agent": 192}
DESCRIPTORS = {"entry": 4100, "coordinator": 8200, "agent": 4096}
LIMITS = {"MaxHeaderBytes": 16384, "MaxBodyBytes": 33554432, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000}
BOUNDS = {"StableMs": 3000, "AckMs": 4000, "CatchUpS": 4.8, "DrainMs": 2000, "GraceS": 8, "LossSlackMs": 200,
          "ConfigApplyMs": 2000, "RecoveryS": 12, "FinishS": 10, "StatusS": 120, "CancelMs": 3000, "SettleMs": 1000,
          "LeaseMs": 3000, "Fenced": "true"}


def list_by_bytes(store, query):
    """The project's stand-in ends a page after 50 items, however large they are."""
    keys = [key for key in store.keys(query["PathPrefix"]) if key > query.get("After", "")]
    items = []
    size = 0
    for key in keys:
        value_bytes = len(store.items[key]["Value"]) * 3 // 4
        if items and (len(items) >= PAGE_ITEMS or size + value_bytes > PAGE_BYTES):
            break
        items.append(store.items[key])
        size += value_bytes
    return 200, {"Items": items, "HasMore": len(items) < len(keys), "AsOf": store.revision}


Store.list = list_by_bytes


class Record:
    """Writes record.txt: one line an event, with the time since the start in seconds."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.started = time.monotonic()
        self.lock = threading.Lock()

    def now(self):
        return time.monotonic() - self.started

    def write(self, text):
        with self.lock:
            self.file.write("%8.3f  %s\n" % (self.now(), text))
            self.file.flush()


def deployment(routes=None, fields=None, **sizes):
    """A deployment that is not started yet. `fields(machine)` gives settings beside those of the sheet."""
    made = hosted.HostedDeployment(BINARY, **sizes)
    platform = made.platform

    def configure(version):
        document = {**hosted.configuration(version), "Limits": LIMITS}
        if routes:
            document["Routes"] = routes
        platform.run(platform.store.write("op/config", json.dumps(document)))

    platform.configure = configure
    for machine in made.machines():
        machine.settings.update({"Bounds." + name: value for name, value in BOUNDS.items()})
        machine.settings["Limits.MemoryMb"] = MEMORY_MB[machine.role]
        machine.settings["Limits.MaxFds"] = DESCRIPTORS[machine.role]
        machine.settings.update(fields(machine) if fields else {})
    return made


def run(folder, case, **options):
    """Runs case(deployment, record, trouble), which returns whether the rule held, and exits with its outcome."""
    record = Record(folder)
    is_troubled = os.environ.get("TROUBLE", "1") != "0"
    outcome = NOT_RUN
    made = None

    def give_up():
        record.write("the case took over %d s" % TIME_LIMIT_S)
        if made:
            made.close()
        os._exit(NOT_RUN)

    limit = threading.Timer(TIME_LIMIT_S, give_up)
    limit.daemon = True
    limit.start()
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))
    try:
        if not os.path.exists(BINARY):
            raise RuntimeError("target/endiveroad is missing: run the build of the deploy file first")
        made = deployment(**options)
        made.start()
        record.write("the deployment is ready; TROUBLE=%d" % is_troubled)
        outcome = HELD if case(made, record, is_troubled) else BROKEN
        record.write("the rule was broken" if outcome == BROKEN else "the rule held")
    except BaseException as error:  # the processes end whatever happens
        record.write("the case could not run: %r" % error)
        traceback.print_exc()
    finally:
        if made:
            made.close()
        print("%s: exit %d" % (os.path.basename(os.path.abspath(folder)), outcome))
        sys.stdout.flush()
        os._exit(outcome)
