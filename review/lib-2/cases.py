"""What the cases of the second review share: a record, exit codes, and a platform that restarts processes."""
import base64
import json
import os
import signal
import sys
import threading
import time
import traceback

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
sys.path.insert(0, os.path.join(ROOT, "scripts", "lib"))
sys.path.insert(0, os.path.join(ROOT, "standins"))
import hosted  # noqa: E402

BINARY = os.path.join(ROOT, "target", "endiveroad")
HELD, BROKEN, NOT_RUN = 0, 1, 2


class Record:
    """Writes what was sent, answered and run, with the seconds since the start of the case."""

    def __init__(self, folder):
        self.started_at = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.lock = threading.Lock()

    def __call__(self, text):
        with self.lock:
            self.file.write("%7.3f %s\n" % (time.monotonic() - self.started_at, text))
            self.file.flush()


class Restarts:
    """Restarts processes that end, as the platform does, and ends those that use more than Limits.MemoryMb."""

    DELAY_S = 0.5

    def __init__(self, deployment, record, ends_for_memory=False):
        self.deployment = deployment
        self.record = record
        self.ends_for_memory = ends_for_memory
        # Exit codes by machine, "memory" where the platform ended the process.
        self.ends = {machine.name: [] for machine in deployment.machines()}
        self.peak_mb = {}
        self.is_stopped = False
        self.thread = threading.Thread(target=self.watch, daemon=True)
        self.thread.start()

    def watch(self):
        due = {}
        while not self.is_stopped:
            for machine in self.deployment.machines():
                self.look(machine, due)
            time.sleep(0.005)

    def look(self, machine, due):
        if machine.name in due:
            if time.monotonic() >= due[machine.name]:
                del due[machine.name]
                machine.start()
            return
        code = machine.handle.poll()
        if code is None and self.ends_for_memory and self.is_over_limit(machine):
            machine.handle.kill()
            machine.handle.wait()
            code = "memory"
        if code is None:
            return
        self.ends[machine.name].append(code)
        self.record("%s ended: %s" % (machine.name, code))
        due[machine.name] = time.monotonic() + self.DELAY_S

    def is_over_limit(self, machine):
        try:
            with open("/proc/%d/statm" % machine.handle.pid, encoding="utf-8") as file:
                pages = int(file.read().split()[1])
        except (OSError, IndexError):
            return False
        used = pages * os.sysconf("SC_PAGE_SIZE") / (1 << 20)
        self.peak_mb[machine.name] = max(self.peak_mb.get(machine.name, 0), round(used))
        return used > machine.settings["Limits.MemoryMb"]

    def stop(self):
        self.is_stopped = True
        self.thread.join()

    def often_ended(self):
        """Machines whose processes ended by themselves three times or more."""
        return sorted(name for name, ends in self.ends.items() if len(ends) >= 3)


def item(item_id, path=None, headers=None, body=b"prompt", group="group-0", scorer=None, model=hosted.MODELS[0]):
    row = {"Id": item_id, "Path": path or hosted.JOB_PREFIX + item_id,
           "Headers": {"Endiveroad-Model": model, **(headers or {})},
           "Body": base64.b64encode(body).decode(), "Tokens": 10, "Group": group}
    if scorer:
        row["Scorer"] = {"Id": scorer, "Host": hosted.HOST, "Path": hosted.SCORE_PREFIX + item_id, "Body": ""}
    return row


def job_body(items, model=hosted.MODELS[0], oldest=1, groups=1):
    return json.dumps({"Step": 0, "Model": model, "MinVersion": oldest, "TargetGroups": groups,
                       "Items": items}).encode()


def submit(deployment, record, entry, job, body, key=None, timeout=20):
    """One client attempt to submit a job. Returns its status, 0 for a connection that broke, and Retry-After."""
    headers = {"Endiveroad-Request-Id": job, "Content-Type": "application/json"}
    if key:
        headers["X-Api-Key"] = key
    record("client sends job %s of %d bytes to %s" % (job, len(body), entry.name))
    try:
        status, _, answered = deployment.request(entry, "POST", hosted.JOB_PREFIX + job, body, headers, timeout)
    except OSError as error:
        record("client got no answer for job %s: %s" % (job, type(error).__name__))
        return 0, 0.0
    retry_after = float(answered.get("Retry-After", 0))
    record("client got %d for job %s, Retry-After %s" % (status, job, retry_after))
    return status, retry_after


def limits(deployment, largest_body, memory_mb=None):
    """Sets the limits of the configuration, and Limits.MemoryMb by role."""
    def configure(version):
        document = hosted.configuration(version)
        document["Limits"] = {**document["Limits"], "MaxBodyBytes": largest_body, "HeaderTimeoutMs": 20000,
                              "IdleTimeoutMs": 20000}
        if deployment.platform.organisations is not None:
            document["Tenants"] = deployment.platform.organisations
        deployment.platform.run(deployment.platform.store.write("op/config", json.dumps(document)))

    deployment.platform.configure = configure
    for machine in deployment.machines():
        if memory_mb:
            machine.settings["Limits.MemoryMb"] = memory_mb[machine.role]


def run(folder, case, has_trouble, **sizes):
    """Runs case(deployment, record, has_trouble), which returns whether the rule was broken, and exits."""
    record = Record(folder)
    record("disruption: %s" % ("yes" if has_trouble else "no"))
    code = NOT_RUN
    # On a time-out of the script, all processes still end.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))
    deployment = None
    try:
        deployment = hosted.HostedDeployment(BINARY, **sizes)
        code = BROKEN if case(deployment, record, has_trouble) else HELD
    except Exception:
        record("the case could not run:\n" + traceback.format_exc().replace(ROOT, "."))
    finally:
        if deployment:
            deployment.close()
    record({HELD: "the rule held", BROKEN: "the rule was broken", NOT_RUN: "no result"}[code])
    sys.stdout.flush()
    os._exit(code)
