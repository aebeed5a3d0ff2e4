"""A caller's streams over several tries: what each try brought, and which software versions wrote the events."""
import http.client
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..", "standins"))
from hosted import HOST, MODELS  # noqa: E402
from hosted_servers import event_count, event_text  # noqa: E402

# Of the streams that are taken up, the share that goes on is at least this part of the share of new streams that begin.
LEAST_PART = 0.5
# Take-ups from which that share counts.
LEAST_TAKE_UPS = 12


class Try:
    """One attempt of a caller at a stream."""

    def __init__(self, request_id, is_take_up):
        self.request_id = request_id
        self.is_take_up = is_take_up
        self.status = 0
        self.headers = {}
        self.seconds = 0.0
        self.events = []
        self.is_complete = False
        # Nobody listened at the entry's address.
        self.was_refused = False

    def went_on(self):
        return self.status == 200 and (self.is_complete or len(self.events) > 0)


class Stream:
    """A stream of a caller over all its tries."""

    def __init__(self, name):
        self.name = name
        self.events = []
        self.tries = []
        self.is_complete = False
        # The request that brought the first event.
        self.first_request = None

    def versions(self):
        return {version for _, _, version in self.events}

    def attempt(self, deployment, entry, leaves_after=None, resumes=None, headers=None):
        """Sends the stream's next request; stops reading after some events if told so."""
        is_take_up = bool(self.events)
        attempt = Try("%s-try-%d" % (self.name, len(self.tries)), is_take_up)
        self.tries.append(attempt)
        sent = {"Host": HOST, "Endiveroad-Request-Id": attempt.request_id, "Endiveroad-Model": MODELS[0],
                "Endiveroad-Deadline-Ms": "6000", "X-Stream": self.name, **(headers or {})}
        if deployment.key is not None:
            sent["X-Api-Key"] = deployment.key
        if is_take_up:
            sent["Last-Event-Id"] = str(self.events[-1][0])
            sent["Resumes"] = resumes or self.first_request
        begun = time.monotonic()
        connection = deployment.connect(entry, timeout=8)
        try:
            connection.request("POST", "/stream/x", b"prompt of " + self.name.encode(), sent)
            response = connection.getresponse()
            attempt.status, attempt.headers = response.status, dict(response.getheaders())
            attempt.seconds = time.monotonic() - begun
            if response.status == 200:
                self.read(response, attempt, leaves_after)
        except ConnectionRefusedError:
            attempt.was_refused = True
        except (OSError, http.client.HTTPException):
            pass
        finally:
            connection.close()
        return attempt

    def read(self, response, attempt, leaves_after):
        number = None
        while leaves_after is None or len(attempt.events) < leaves_after:
            line = response.readline()
            if not line:
                attempt.is_complete = self.is_complete = response.isclosed() and len(self.events) == event_count(self.name)
                return
            text = line.decode().rstrip("\n")
            if text.startswith("id: "):
                number = int(text[4:])
            elif text.startswith("data: "):
                data, _, version = text[6:].partition("@")
                event = (number, data, version)
                self.first_request = self.first_request or attempt.request_id
                attempt.events.append(event)
                self.events.append(event)

    def check_order(self):
        """Whatever made them, the events are those of the text, each once and in order."""
        for number, (event_id, data, _) in enumerate(self.events):
            assert event_id == number and data == event_text(self.name, number), (self.name, self.events)


class Shares:
    """Of new streams the share that begins, and of those taken up the share that goes on."""

    def __init__(self, streams):
        self.new = [attempt for stream in streams for attempt in stream.tries if not attempt.is_take_up]
        self.taken_up = [attempt for stream in streams for attempt in stream.tries if attempt.is_take_up]
        self.begun = sum(attempt.went_on() for attempt in self.new) / max(len(self.new), 1)
        self.gone_on = sum(attempt.went_on() for attempt in self.taken_up) / max(len(self.taken_up), 1)

    def are_near(self):
        return len(self.taken_up) < LEAST_TAKE_UPS or self.gone_on >= LEAST_PART * self.begun

    def __str__(self):
        return "new ones begun %.2f of %d, taken up and gone on %.2f of %d" % (
            self.begun, len(self.new), self.gone_on, len(self.taken_up))
