"""One batch job of legal size ends the coordinators one after the other.

The platform is played as DEPLOY.md tells: a process that uses more than Limits.MemoryMb is killed and starts again after
a short delay.
"""
import base64
import collections
import http.client
import json
import os
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "lib-3"))
import deployment  # noqa: E402
from hosted import HOST, JOB_PREFIX, MODELS, SCORE_PREFIX  # noqa: E402

# The trainer gives a step up at its deadline of the sheet.
DEADLINE_S = 12.0
RETRY_PAUSE_S = 0.3
RESTART_DELAY_S = 0.5
# About 29 MB in all; MaxBodyBytes is 33.5 MB.
LARGE_ITEMS = 90000
# The sheet's job.
SMALL_ITEMS = 40
# RULES.md, "Faults".
ENDS_OF_A_FAULT = 3
MACHINES_OF_A_FAULT = 2


class Keeper:
    """Kills processes over their memory limit, and starts them again."""

    def __init__(self, made, record):
        self.made = made
        self.record = record
        self.ends = collections.Counter()
        self.peaks_mb = collections.Counter()
        self.is_over = False
        self.threads = [threading.Thread(target=self.watch, args=(machine,), daemon=True)
                        for machine in made.machines()]
        for thread in self.threads:
            thread.start()

    @staticmethod
    def resident_mb(machine):
        try:
            with open("/proc/%d/status" % machine.handle.pid, encoding="utf-8") as status:
                return next(int(line.split()[1]) for line in status if line.startswith("VmRSS")) / 1024
        except (OSError, StopIteration):
            return 0

    def watch(self, machine):
        while not self.is_over:
            used = self.resident_mb(machine)
            self.peaks_mb[machine.name] = max(self.peaks_mb[machine.name], round(used))
            if used > machine.settings["Limits.MemoryMb"]:
                self.ends[machine.name] += 1
                self.record.write("%s uses %.0f MB of %d MB; the platform kills it"
                                  % (machine.name, used, machine.settings["Limits.MemoryMb"]))
                machine.kill()
                time.sleep(RESTART_DELAY_S)
                machine.start()
            time.sleep(0.005)

    def close(self):
        self.is_over = True
        for thread in self.threads:
            thread.join()


def job_body(job, items):
    prompt = base64.b64encode(b"a prompt.").decode()
    rows = [{"Id": "%s-%x" % (job, number), "Path": JOB_PREFIX + "%x" % number, "Tokens": 940,
             "Group": "g%x" % (number // 8), "Body": prompt,
             "Headers": {"Endiveroad-Model": MODELS[0], "Endiveroad-Token-Usage": "540,400",
                         "Endiveroad-Prefix-Hash": "9c2e41:300,5d07b8:240"},
             "Scorer": {"Id": "s%s-%x" % (job, number), "Host": HOST, "Path": SCORE_PREFIX + "%x" % number,
                        "Body": "3q2+7w=="}} for number in range(items)]
    document = {"Step": 0, "Model": MODELS[0], "MinVersion": 1, "TargetGroups": max(items // 8, 1), "Items": rows}
    return json.dumps(document, separators=(",", ":")).encode()


def submit(made, record, job, body):
    """Submits as a trainer does: again after each failure, at another entry, until its deadline."""
    end = time.monotonic() + DEADLINE_S
    turn = 0
    while time.monotonic() < end:
        entry = made.entries[turn % len(made.entries)]
        turn += 1
        try:
            status = made.request(entry, "POST", JOB_PREFIX + job, body, {
                "Endiveroad-Request-Id": job, "Content-Type": "application/json"}, timeout=DEADLINE_S)[0]
        except (OSError, http.client.HTTPException) as error:
            status = repr(error)
        record.write("job %s (%.1f MB) at %s: %s" % (job, len(body) / 1e6, entry.name, status))
        if status in (202, 413):
            return status
        time.sleep(RETRY_PAUSE_S)
    return None


def case(made, record, trouble):
    keeper = Keeper(made, record)
    assert len(job_body("x", LARGE_ITEMS)) <= deployment.LIMITS["MaxBodyBytes"]
    large = job_body("a", LARGE_ITEMS if trouble else SMALL_ITEMS)
    outcome = []
    trainer = threading.Thread(target=lambda: outcome.append(submit(made, record, "a", large)))
    trainer.start()
    time.sleep(1.0)
    # Another trainer's ordinary job meanwhile.
    other = submit(made, record, "b", job_body("b", SMALL_ITEMS))
    trainer.join()
    keeper.close()
    record.write("most memory in MB: %s" % dict(keeper.peaks_mb))
    record.write("ends for memory: %s; job a: %s, job b: %s" % (dict(keeper.ends), outcome[0], other))
    faulty = [name for name, ends in keeper.ends.items() if ends >= ENDS_OF_A_FAULT]
    enough = max(MACHINES_OF_A_FAULT, len(made.machines()) // 10)
    return len(faulty) < enough


if __name__ == "__main__":
    deployment.run(FOLDER, case, entries=3, coordinators=3, engines=3, services=3)
