"""Full servers refuse requests, and some answers of one server come twice; what may run once must run once."""
import http.client
import os
import sys
import threading
import time
from collections import Counter

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib"))
from case import main  # noqa: E402
import hosted  # noqa: E402
import servers  # noqa: E402

CALLERS = 10
ENTRIES = 5
SLOTS = 1
WORK_S = 0.01

# One of two servers hands out second copies, for so long and so often.
SPAN_S = 4.9
PAUSE_S = 1.0
SPANS = 14


def run(case):
    deployment = case.deployment
    services = deployment.platform.services
    for service in services:
        service.extra_s = WORK_S
        service.slots = SLOTS
    time.sleep(4.0)
    answered = {}
    is_over = threading.Event()

    def caller(number):
        turn = 0
        while not is_over.is_set():
            turn += 1
            request = "once-%d-%d" % (number, turn)
            try:
                answered[request] = deployment.call(deployment.entries[number % ENTRIES], request, "/once/x")[0]
            except (OSError, http.client.HTTPException) as error:
                answered[request] = repr(error)
            case.record.add("sent %s, answered %s" % (request, answered[request]), is_shown=False)

    callers = [threading.Thread(target=caller, args=(number,)) for number in range(CALLERS)]
    for thread in callers:
        thread.start()
    for _ in range(SPANS):
        services[0].has_copies = case.has_trouble
        case.note("%s sends %g of its answers twice: %s" % (services[0].id, servers.COPIED_SHARE, case.has_trouble))
        time.sleep(SPAN_S)
        services[0].has_copies = False
        case.note("%s is sound" % services[0].id)
        time.sleep(PAUSE_S)
    is_over.set()
    for thread in callers:
        thread.join()
    time.sleep(0.5)
    case.note("answered: %s" % dict(Counter(answered.values())))
    for service in services:
        copied = sum(service.copies.values())
        case.note("%s: %d answers, of which %d refusals; second copies: %s, %.4f of the answers in the spans" % (
            service.id, service.answers, service.refused, service.copies, copied / max(1, service.answers_in_spans)))
    places = {}
    for service in services:
        for request, _, _ in service.ran:
            places.setdefault(request, []).append(service.id)
    held = True
    for request, ran_at in sorted(places.items()):
        if len(ran_at) > 1:
            case.note("TWICE: %s ran at %s; answered %s" % (request, " and ".join(ran_at), answered.get(request)))
            held = False
        if answered.get(request) in (408, 421, 429, 503):
            case.note("REFUSED: %s was answered %s and has run at %s" % (request, answered[request], ran_at[0]))
            held = False
    return held


servers.install()
main(run, FOLDER, entries=ENTRIES)
