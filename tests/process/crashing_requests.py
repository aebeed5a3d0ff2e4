#!/usr/bin/env python3
"""Requests that crash each server that begins to run them, sent again and again by callers and by the system itself."""
import collections
import os
import sys
import threading
import time
import zlib

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..", "scripts", "lib"))
from hosted import CALL_PREFIX, run_case, wait_until  # noqa: E402

# The users' bounds: crashes before a request is known, the time that all processes have to learn of them, and how often
# servers may get the request after that.
CRASHES = 3
STABLE_S = 3.0
RETRIES = 3
# An answer that is known already comes at once.
PROMPT_S = 0.5
CRASHING = b"a body that crashes servers"


class Repeats:
    """A caller that sends one request again and again, each time through the next entry, and sound ones beside it."""

    def __init__(self, deployment, target, body=CRASHING, pause_s=0.15, sound_bodies=0):
        self.deployment = deployment
        self.target = target
        self.body = body
        self.pause_s = pause_s
        # Number of bodies that sound calls share; each has one of its own if it is 0.
        self.sound_bodies = sound_bodies
        # (time, status, seconds, headers) of each answer; status 0 for none.
        self.answers = []
        self.sound = collections.Counter()
        # Sound calls that were refused as if they crashed servers.
        self.condemned = 0
        self.is_stopped = False

    def send(self, number):
        entry = self.deployment.entries[number % len(self.deployment.entries)]
        started = time.monotonic()
        try:
            status, _, headers = self.deployment.call(entry, "crash-%08x-%d" % (zlib.crc32(self.body), number), self.target, self.body)
        except OSError:
            status, headers = 0, {}
        self.answers.append((started, status, time.monotonic() - started, headers))

    def send_sound(self, number):
        entry = self.deployment.entries[(number + 1) % len(self.deployment.entries)]
        try:
            content = b"sound %d" % (number % self.sound_bodies if self.sound_bodies else number)
            status, body, _ = self.deployment.call(entry, "sound-%d" % number, CALL_PREFIX + "x", content)
        except OSError:
            status, body = 0, b""
        self.sound[status] += 1
        self.condemned += b"poison_request" in body

    def send_sound_until(self, end, first):
        number = first
        while time.monotonic() < end and not self.is_stopped:
            self.send_sound(number)
            number += 1

    def run(self, seconds):
        end = time.monotonic() + seconds
        number = 0
        neighbours = [threading.Thread(target=self.send_sound_until, args=(end, first)) for first in (100000, 200000)]
        for thread in neighbours:
            thread.start()
        while time.monotonic() < end and not self.is_stopped:
            self.send(number)
            number += 1
            time.sleep(self.pause_s)
        for thread in neighbours:
            thread.join()


def crash_times(servers):
    return sorted(moment for server in servers for _, moment in server.crashes)


def check_retries(servers, body=CRASHING):
    """After the third crash and STABLE_S more, at most RETRIES further attempts reach servers, run or not."""
    ran = {request for server in servers for _, request, reached in server.reached if reached == body}
    times = sorted(moment for server in servers for request, moment in server.crashes if request in ran)
    print("servers ended:", len(times), ["%.2f" % (moment - times[0]) for moment in times])
    assert len(times) >= CRASHES, times
    known_at = times[CRASHES - 1] + STABLE_S
    late = [moment for server in servers for moment, _, reached in server.reached
            if reached == body and moment > known_at]
    print("late retries:", len(late))
    assert len(late) <= RETRIES, "%d retries, %d servers ended in all" % (len(late), len(times))


def check_rejections(repeats, servers):
    """What servers don't get is rejected at once, with a Retry-After."""
    known_at = crash_times(servers)[CRASHES - 1] + STABLE_S
    late = [answer for answer in repeats.answers if answer[0] > known_at and answer[1] != 0]
    rejections = [answer for answer in late if answer[1] == 503]
    print("answers:", collections.Counter(answer[1] for answer in repeats.answers), "sound:", repeats.sound)
    assert len(late) - len(rejections) <= RETRIES, collections.Counter(answer[1] for answer in late)
    assert rejections and all(seconds < PROMPT_S for _, _, seconds, _ in rejections)
    assert all(float(headers["Retry-After"]) > 0 for _, _, _, headers in rejections)
    assert repeats.condemned == 0, "%d sound calls were refused" % repeats.condemned


def make_crashing(servers, body=CRASHING):
    for server in servers:
        server.crashing_bodies.add(body)


def repeats_of_a_crashing_call_pile_up(deployment):
    services = deployment.platform.services
    make_crashing(services)
    repeats = Repeats(deployment, CALL_PREFIX + "x")
    repeats.run(20)
    check_retries(services)
    check_rejections(repeats, services)
    assert repeats.sound[200] >= 0.9 * sum(repeats.sound.values()), repeats.sound


def a_call_that_was_answered_before_it_crashed_servers_piles_up(deployment):
    services = deployment.platform.services
    repeats = Repeats(deployment, CALL_PREFIX + "x")
    repeats.run(4)
    assert all(status == 200 for _, status, _, _ in repeats.answers), repeats.answers
    make_crashing(services)
    repeats.run(20)
    check_retries(services)
    check_rejections(repeats, services)


def repeats_of_a_crashing_call_pile_up_where_servers_start_under_new_ids(deployment):
    """Servers are back before their registrations tell it, so attempts meet servers that others take for gone."""
    services = deployment.platform.services
    make_crashing(services)
    for service in services:
        service.down_s = 0.1
    repeats = Repeats(deployment, CALL_PREFIX + "x", pause_s=0.05)
    repeats.run(20)
    check_retries(services)
    assert repeats.condemned == 0, "%d sound calls were refused" % repeats.condemned


def servers_that_start_again_under_their_id_are_hit_without_end(deployment):
    services = deployment.platform.services
    make_crashing(services)
    for service in services:
        service.keeps_id = True
        # Back, and hit again, before the registration tells the new start.
        service.down_s = 0.1
    Repeats(deployment, CALL_PREFIX + "x").run(20)
    check_retries(services)


def repeats_of_a_crashing_call_that_may_not_be_repeated_pile_up(deployment):
    services = deployment.platform.services
    make_crashing(services)
    repeats = Repeats(deployment, "/once/x")
    repeats.run(20)
    check_retries(services)
    check_rejections(repeats, services)
    ran = [request_id for service in services for request_id, _, body in service.ran if body == CRASHING]
    assert len(ran) == len(set(ran)), ran


def repeats_of_a_crashing_stream_pile_up(deployment):
    make_crashing(deployment.platform.engines)
    repeats = Repeats(deployment, "/stream/x")
    repeats.run(20)
    check_retries(deployment.platform.engines)
    check_rejections(repeats, deployment.platform.engines)


def restarts_forget_a_crashing_call(deployment):
    """Entries and coordinators start again one by one, then all at once."""
    services = deployment.platform.services
    make_crashing(services)
    repeats = Repeats(deployment, CALL_PREFIX + "x")
    thread = threading.Thread(target=repeats.run, args=(24,))
    thread.start()
    wait_until(lambda: len(crash_times(services)) >= CRASHES, 10)
    time.sleep(STABLE_S)
    for machine in [*deployment.entries, *deployment.coordinators]:
        machine.restart()
        time.sleep(1.0)
    for machine in deployment.machines():
        machine.kill()
    for machine in deployment.machines():
        machine.start()
    thread.join()
    check_retries(services)
    assert repeats.sound[200] > 0, repeats.sound


def crashing_calls_excuse_each_other(deployment):
    """Three contents crash servers at once, beside sound calls that share three others."""
    services = deployment.platform.services
    repeats = []
    for number in range(3):
        body = b"crashes servers %d" % number
        make_crashing(services, body)
        repeats.append(Repeats(deployment, CALL_PREFIX + "x", body, sound_bodies=3))
    threads = [threading.Thread(target=caller.run, args=(20,)) for caller in repeats]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    for caller in repeats:
        check_retries(services, caller.body)
    sound = sum((caller.sound for caller in repeats), collections.Counter())
    print("sound:", sound)
    assert not any(caller.condemned for caller in repeats), [caller.condemned for caller in repeats]
    assert sound[200] >= 0.9 * sum(sound.values()), sound


def restarts_between_the_ends_forget_a_crashing_call(deployment):
    """All entries, then all coordinators, start again after the second end, before the call is held back."""
    services = deployment.platform.services
    make_crashing(services)
    repeats = Repeats(deployment, CALL_PREFIX + "x", pause_s=0.5)
    thread = threading.Thread(target=repeats.run, args=(24,))
    thread.start()
    wait_until(lambda: len(crash_times(services)) >= CRASHES - 1, 10)
    for machine in deployment.entries:
        machine.restart()
    for machine in deployment.coordinators:
        machine.restart()
        time.sleep(0.5)
    thread.join()
    check_retries(services)


def repeats_of_a_crashing_item_pile_up(deployment):
    """One item of a job crashes replicas; the others are completed, also in the next job, which has it again."""
    engines = deployment.platform.engines
    make_crashing(engines, b"prompt of item-3")
    items = ["item-%d" % number for number in range(8)]
    deployment.submit("job-first", items)
    results = {result["Id"]: result for result in deployment.read_all("job-first", 7)}
    assert all(results[item]["State"] == "completed" for item in results), results
    time.sleep(6)
    deployment.end("job-first")
    deployment.submit("job-second", ["item-2", "item-3", "other-0", "other-1"])
    deployment.read_all("job-second", 3)
    time.sleep(10)
    check_retries(engines, b"prompt of item-3")


def repeats_of_a_crashing_scoring_call_pile_up(deployment):
    services = deployment.platform.services
    deployment.scoring_bodies["item-1"] = CRASHING
    make_crashing(services)
    deployment.submit("job-scored", ["item-%d" % number for number in range(4)])
    results = {result["Id"]: result for result in deployment.read_all("job-scored", 3)}
    assert all(result["State"] == "completed" for result in results.values()), results
    time.sleep(20)
    check_retries(services)


CASES = {case.__name__: case for case in (
    repeats_of_a_crashing_call_pile_up, servers_that_start_again_under_their_id_are_hit_without_end, repeats_of_a_crashing_call_that_may_not_be_repeated_pile_up,
    repeats_of_a_crashing_stream_pile_up, restarts_forget_a_crashing_call, repeats_of_a_crashing_item_pile_up,
    repeats_of_a_crashing_scoring_call_pile_up, a_call_that_was_answered_before_it_crashed_servers_piles_up,
    repeats_of_a_crashing_call_pile_up_where_servers_start_under_new_ids, crashing_calls_excuse_each_other,
    restarts_between_the_ends_forget_a_crashing_call)}


if __name__ == "__main__":
    run_case(__doc__, CASES, engines=4, services=4)
