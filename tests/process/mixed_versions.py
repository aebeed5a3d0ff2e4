#!/usr/bin/env python3
"""Replicas of two software versions side by side: no stream and no text holds events of both, and those that can go on do."""
import os
import random
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..", "scripts", "lib"))
from hosted import names, run_case  # noqa: E402
from streams import Shares, Stream, Try  # noqa: E402

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..", "standins"))
from hosted_servers import BEAT_S, event_count, event_text  # noqa: E402

OLD, NEW = "v1", "v2"
# A stream that cannot go on is rejected within this time.
REJECTION_S = 0.5
TRIES = 6


def prepare(deployment, versions, slots=None):
    """Gives each engine its software version and waits until the registrations tell it."""
    platform = deployment.platform
    for engine, version in zip(platform.engines, versions):
        engine.software = version
        engine.names_software = True
        if slots:
            engine.slots = slots
    time.sleep(BEAT_S + 1.0)


def play(deployment, count, callers, one_stream):
    """Runs one_stream(stream, caller's random choices) for `count` streams, some at a time."""
    streams = [Stream("s%d" % number) for number in range(count)]
    waiting = list(enumerate(streams))
    lock = threading.Lock()

    def run():
        while True:
            with lock:
                if not waiting:
                    return
                number, stream = waiting.pop(0)
            one_stream(stream, random.Random(number))

    threads = [threading.Thread(target=run) for _ in range(callers)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return streams


def check(streams, is_share_checked=True):
    """No stream holds events of two versions, and the share of those taken up that go on is near that of new ones."""
    for stream in streams:
        stream.check_order()
    shares = Shares(streams)
    mixed = [(stream.name, [version for _, _, version in stream.events]) for stream in streams if len(stream.versions()) > 1]
    print("streams %d, complete %d, mixed %d, %s" % (
        len(streams), sum(stream.is_complete for stream in streams), len(mixed), shares), file=sys.stderr)
    assert not mixed, (len(mixed), mixed[:3])
    assert not is_share_checked or shares.are_near(), str(shares)


def entry_of(deployment, choices):
    return choices.choice(deployment.entries)


def leave_and_take_up(deployment):
    """A caller that leaves after some events and takes the stream up at another entry, until it has the whole."""

    def one_stream(stream, choices):
        entries = list(deployment.entries)
        choices.shuffle(entries)
        for number in range(TRIES):
            stream.attempt(deployment, entries[number % len(entries)], choices.randrange(3, 13))
            if stream.is_complete or stream.tries[-1].status == 503:
                return

    return one_stream


def a_stream_goes_on_at_another_version_within_one_answer(deployment):
    prepare(deployment, [OLD, NEW, OLD, NEW])
    for number, engine in enumerate(deployment.platform.engines):
        engine.cut_after = 4 + number

    def one_stream(stream, choices):
        stream.attempt(deployment, entry_of(deployment, choices))

    streams = play(deployment, 60, 6, one_stream)
    check(streams)
    # Two replicas of each version serve, so some streams need more than one of them and get it.
    longer = [stream for stream in streams if event_count(stream.name) > 8]
    whole = sum(stream.is_complete for stream in longer)
    assert whole > 0, "no stream went on within its answer"


def a_stream_that_began_with_a_comment_goes_on_at_another_version(deployment):
    """One replica breaks off before its first event, others after some."""
    prepare(deployment, [OLD, NEW, OLD, NEW])
    for number, engine in enumerate(deployment.platform.engines):
        engine.greeting = b": welcome\n\n"
        engine.cut_after = 4 * number

    def one_stream(stream, choices):
        stream.attempt(deployment, entry_of(deployment, choices))

    check(play(deployment, 60, 6, one_stream))


def a_stream_goes_on_at_another_version_at_another_entry(deployment):
    prepare(deployment, [OLD, NEW, OLD, NEW])
    check(play(deployment, 60, 6, leave_and_take_up(deployment)))


def a_stream_goes_on_at_another_version_after_its_entry_was_killed(deployment):
    prepare(deployment, [OLD, NEW, OLD, NEW])
    for engine in deployment.platform.engines:
        engine.extra_s = 0.03
    has_ended = threading.Event()

    def kill_entries():
        turn = 0
        while not has_ended.wait(1.3):
            entry = deployment.entries[turn % len(deployment.entries)]
            turn += 1
            entry.kill()
            has_ended.wait(0.4)
            entry.start()

    def one_stream(stream, choices):
        for _ in range(TRIES):
            stream.attempt(deployment, entry_of(deployment, choices))
            if stream.is_complete or stream.events and stream.tries[-1].status == 503:
                return
            time.sleep(0.02)

    killer = threading.Thread(target=kill_entries)
    killer.start()
    streams = play(deployment, 120, 9, one_stream)
    has_ended.set()
    killer.join()
    check(streams)


def play_kills_of_all_entries(deployment, during_kill):
    """Callers take their streams up after all entries were killed at once and came back, again and again."""
    prepare(deployment, [OLD, NEW, OLD, NEW])
    for engine in deployment.platform.engines:
        engine.extra_s = 0.05
        engine.down_s = 0.4
    has_ended = threading.Event()

    def kill_entries():
        choices = random.Random(1)
        turn = 0
        while not has_ended.wait(2.5):
            turn += 1
            for entry in deployment.entries:
                entry.kill()
            during_kill(turn)
            has_ended.wait(choices.uniform(0.3, 2.2))
            for entry in deployment.entries:
                entry.start()

    def one_stream(stream, choices):
        for _ in range(12):
            attempt = stream.attempt(deployment, entry_of(deployment, choices))
            if stream.is_complete or stream.events and attempt.status == 503:
                return
            time.sleep(0.25)

    killer = threading.Thread(target=kill_entries)
    killer.start()
    streams = play(deployment, 96, 8, one_stream)
    has_ended.set()
    killer.join()
    # What was sent while no entry ran tells nothing of the entries.
    for stream in streams:
        stream.tries = [attempt for attempt in stream.tries if not attempt.was_refused]
    return streams


def streams_of_two_versions_are_joined_after_all_entries_were_killed(deployment):
    """The text is joined from two versions, or the stream is rejected, once no entry remembers what began it."""
    streams = play_kills_of_all_entries(deployment, lambda turn: None)
    check(streams)
    assert any(attempt.is_take_up for stream in streams for attempt in stream.tries), "no stream was taken up"


def streams_are_joined_where_replicas_changed_while_all_entries_were_away(deployment):
    """Two replicas leave for a new id, start and version in each kill; a coordinator starts again at the same moment."""
    engines = deployment.platform.engines

    def change(turn):
        for number in (turn % 4, (turn + 1) % 4):
            engine = engines[number]
            engine.keeps_id = turn % 3 == 0
            engine.next_software = NEW if engine.software == OLD else OLD
            deployment.platform.loop.call_soon_threadsafe(engine.end)
        deployment.coordinators[turn % 3].restart()

    # At times one replica of a version serves, or none.
    check(play_kills_of_all_entries(deployment, change), is_share_checked=False)


def streams_are_joined_where_all_entries_return_while_the_store_is_away(deployment):
    """Entries start again with what coordinators remember of servers, some of which have other software by then."""
    engines = deployment.platform.engines
    store = deployment.platform.store

    def change(turn):
        engine = engines[turn % 4]
        engine.keeps_id = turn % 2 == 0
        engine.next_software = NEW if engine.software == OLD else OLD
        store.mode = "silent" if turn % 2 else "up"
        deployment.platform.loop.call_soon_threadsafe(engine.end)

    streams = play_kills_of_all_entries(deployment, change)
    store.mode = "up"
    check(streams, is_share_checked=False)


def streams_taken_up_are_lost_at_full_servers(deployment):
    """More callers than places: of those taken up, nearly as many go on as new ones begin."""
    prepare(deployment, [OLD, NEW, OLD, NEW])
    for engine in deployment.platform.engines:
        engine.queue = 0

    def one_stream(stream, choices):
        for _ in range(TRIES):
            attempt = stream.attempt(deployment, entry_of(deployment, choices), choices.randrange(3, 13),
                                     headers={"Endiveroad-Deadline-Ms": "800"})
            if stream.is_complete or attempt.status != 200:
                return

    check(play(deployment, 160, 32, one_stream))


def a_stream_goes_on_where_a_server_that_states_no_start_started_again(deployment):
    for engine in deployment.platform.engines:
        engine.reports_start = False
    a_stream_goes_on_where_a_server_started_again_with_other_software(deployment)


def a_stream_goes_on_where_a_server_started_again_with_other_software(deployment):
    """The registration tells the new start up to a beat later."""
    prepare(deployment, [OLD, NEW, OLD, NEW])
    has_ended = threading.Event()
    for engine in deployment.platform.engines:
        engine.keeps_id = True
        engine.down_s = 0.15
        engine.extra_s = 0.02

    def restart_engines():
        turn = 0
        while not has_ended.wait(0.9):
            engine = deployment.platform.engines[turn % len(deployment.platform.engines)]
            turn += 1
            engine.next_software = NEW if engine.software == OLD else OLD
            deployment.platform.loop.call_soon_threadsafe(engine.end)

    restarter = threading.Thread(target=restart_engines)
    restarter.start()
    streams = play(deployment, 96, 6, leave_and_take_up(deployment))
    has_ended.set()
    restarter.join()
    # At times only one replica of a version serves.
    check(streams, is_share_checked=False)
    taken_up = [attempt for stream in streams for attempt in stream.tries if attempt.is_take_up]
    assert any(attempt.went_on() for attempt in taken_up), "no stream went on"


def a_stream_of_the_last_old_replica_goes_on_at_newer_ones(deployment):
    prepare(deployment, [OLD, NEW, NEW, NEW])
    streams = play(deployment, 48, 6, leave_and_take_up(deployment))
    check(streams, is_share_checked=False)
    old = [stream for stream in streams if stream.versions() == {OLD}]
    taken_up = [attempt for stream in old for attempt in stream.tries if attempt.is_take_up]
    assert not taken_up or any(attempt.went_on() for attempt in taken_up), "no stream of the old replica went on"


def check_rejection(attempt):
    """At once, as not run, and with no hint to come back."""
    assert attempt.status == 503, attempt.status
    assert attempt.seconds < REJECTION_S, attempt.seconds
    assert "Retry-After" not in attempt.headers, attempt.headers


def a_stream_that_nobody_knows_goes_on_by_a_guess(deployment):
    prepare(deployment, [OLD, NEW, OLD, NEW])
    for number, resumes in enumerate(["never-seen", "x" * 8000, "s0-try-0"]):
        stream = Stream("unknown-%d" % number)
        stream.events = [(0, event_text(stream.name, 0), OLD)]
        stream.tries.append(Try("earlier", False))
        check_rejection(stream.attempt(deployment, deployment.entries[number], resumes=resumes))
    sent = sum(len(engine.ran) for engine in deployment.platform.engines)
    assert sent == 0, "a stream that nobody knows reached a replica"


def a_stream_without_a_server_of_its_version_waits_or_goes_on_elsewhere(deployment):
    prepare(deployment, [OLD, OLD, NEW, NEW])
    streams = []
    while sum(stream.versions() == {OLD} for stream in streams) < 4:
        streams.append(Stream("left-%d" % len(streams)))
        streams[-1].attempt(deployment, deployment.entries[0], leaves_after=2)
        assert len(streams) < 60, "no stream began at the old version"
    for engine in deployment.platform.engines[:2]:
        engine.is_draining = True
    time.sleep(BEAT_S + 1.0)
    for number, stream in enumerate(stream for stream in streams if stream.versions() == {OLD}):
        check_rejection(stream.attempt(deployment, deployment.entries[1 + number % 2]))


def a_stream_taken_up_is_taken_up_again(deployment):
    """Callers name the attempt that brought the first event, and some the last one; both are known."""
    prepare(deployment, [OLD, NEW, OLD, NEW])

    def one_stream(stream, choices):
        for number in range(5):
            last = stream.tries[-1].request_id if stream.tries and choices.random() < 0.5 else None
            stream.attempt(deployment, deployment.entries[number % 3], leaves_after=1, resumes=last)
            if stream.is_complete or stream.tries[-1].status != 200:
                return

    streams = play(deployment, 40, 4, one_stream)
    check(streams)


def a_stream_is_forgotten_when_all_processes_but_its_entry_start_again(deployment):
    """Coordinators are killed one after the other; then the entry, of which they know the streams again."""
    prepare(deployment, [OLD, NEW, OLD, NEW])
    streams = [Stream("kept-%d" % number) for number in range(24)]
    for stream in streams:
        stream.attempt(deployment, deployment.entries[0], leaves_after=2)
    for coordinator in deployment.coordinators:
        coordinator.kill()
        coordinator.start()
        time.sleep(2.0)
    deployment.entries[0].kill()
    for stream in streams:
        stream.attempt(deployment, deployment.entries[1])
    deployment.entries[0].start()
    check(streams)


def registrations_without_a_version_lose_streams(deployment):
    """Servers whose version is not known are used, but no stream goes on that one of them began."""
    prepare(deployment, [OLD, None, 7, OLD])
    deployment.platform.engines[1].software = None
    streams = play(deployment, 48, 6, leave_and_take_up(deployment))
    for stream in streams:
        if len(stream.tries) > 1:
            first = stream.tries[0].events[-1][2]
            went_on = [attempt for attempt in stream.tries[1:] if attempt.went_on()]
            assert first == OLD or not went_on, (stream.name, stream.versions())
    assert {OLD, "None", "7"} == {stream.events[0][2] for stream in streams}
    check([stream for stream in streams if stream.versions() == {OLD}])


def versions_of(result):
    return {line.partition("@")[2] for line in result["Text"].split("\n")}


def check_texts(deployment, job, items):
    results = deployment.read_all(job, len(items), patience_s=40)
    mixed = {}
    for result in results:
        assert result["State"] == "completed", result
        data = [line.partition("@")[0] for line in result["Text"].split("\n")]
        assert data == [event_text(result["Id"], number) for number in range(event_count(result["Id"]))], result
        if len(versions_of(result)) > 1:
            mixed[result["Id"]] = versions_of(result)
    print("texts %d, mixed %d" % (len(results), len(mixed)), file=sys.stderr)
    assert not mixed, (len(mixed), mixed)


def a_text_goes_on_at_another_version(deployment):
    prepare(deployment, [OLD, NEW, OLD, NEW])
    for number, engine in enumerate(deployment.platform.engines):
        engine.cut_after = 4 + number
    items = names("cut", 40)
    deployment.submit("job-cut", items)
    time.sleep(3.0)
    for engine in deployment.platform.engines:
        engine.cut_after = None
    check_texts(deployment, "job-cut", items)


def a_text_goes_on_at_another_version_under_changing_owners(deployment):
    prepare(deployment, [OLD, NEW, OLD, NEW])
    for engine in deployment.platform.engines:
        engine.extra_s = 0.05
        engine.cut_after = 9
    items = names("owned", 30)
    deployment.submit("job-owned", items)
    for coordinator in deployment.coordinators:
        time.sleep(0.6)
        coordinator.kill()
        coordinator.start()
        time.sleep(1.2)
    for engine in deployment.platform.engines:
        engine.extra_s = 0.0
        engine.cut_after = None
    check_texts(deployment, "job-owned", items)


def a_text_of_an_earlier_job_goes_on_at_another_version(deployment):
    """The items come again in a later job when the replicas have changed."""
    engines = deployment.platform.engines
    prepare(deployment, [OLD, OLD, OLD, OLD])
    for engine in engines:
        engine.extra_s = 0.15
    items = names("again", 16)
    deployment.submit("job-first", items)
    time.sleep(1.5)
    deployment.end("job-first")
    for engine in engines:
        engine.keeps_id = True
        engine.down_s = 0.1
        engine.next_software = NEW
        engine.extra_s = 0.0
        deployment.platform.loop.call_soon_threadsafe(engine.end)
    time.sleep(BEAT_S + 1.0)
    deployment.submit("job-second", items)
    check_texts(deployment, "job-second", items)


def a_text_goes_on_where_a_replica_started_again_with_other_software(deployment):
    engines = deployment.platform.engines
    prepare(deployment, [OLD, NEW, OLD, NEW])
    for engine in engines:
        engine.keeps_id = True
        engine.down_s = 0.1
        engine.extra_s = 0.03
    items = names("restart", 48)
    deployment.submit("job-restart", items)
    for turn in range(8):
        time.sleep(0.6)
        engine = engines[turn % len(engines)]
        engine.next_software = NEW if engine.software == OLD else OLD
        deployment.platform.loop.call_soon_threadsafe(engine.end)
    check_texts(deployment, "job-restart", items)


CASES = {case.__name__: case for case in [
    a_stream_goes_on_at_another_version_within_one_answer,
    a_stream_that_began_with_a_comment_goes_on_at_another_version,
    a_stream_goes_on_at_another_version_at_another_entry,
    a_stream_goes_on_at_another_version_after_its_entry_was_killed,
    a_stream_goes_on_where_a_server_started_again_with_other_software,
    a_stream_goes_on_where_a_server_that_states_no_start_started_again,
    streams_of_two_versions_are_joined_after_all_entries_were_killed,
    streams_are_joined_where_replicas_changed_while_all_entries_were_away,
    streams_are_joined_where_all_entries_return_while_the_store_is_away,
    streams_taken_up_are_lost_at_full_servers,
    a_stream_of_the_last_old_replica_goes_on_at_newer_ones,
    a_stream_that_nobody_knows_goes_on_by_a_guess,
    a_stream_without_a_server_of_its_version_waits_or_goes_on_elsewhere,
    a_stream_taken_up_is_taken_up_again,
    a_stream_is_forgotten_when_all_processes_but_its_entry_start_again,
    registrations_without_a_version_lose_streams,
    a_text_goes_on_at_another_version,
    a_text_goes_on_at_another_version_under_changing_owners,
    a_text_of_an_earlier_job_goes_on_at_another_version,
    a_text_goes_on_where_a_replica_started_again_with_other_software,
]}

if __name__ == "__main__":
    run_case(__doc__, CASES, entries=3, engines=4)
