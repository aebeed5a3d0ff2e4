"""A deployment on a stand-in of the shared platform: real processes, each on a loopback address of its own."""
import argparse
import asyncio
import base64
import http.client
import json
import os
import signal
import subprocess
import sys
import tempfile
import threading
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
sys.path.insert(0, os.path.join(ROOT, "standins"))
from hosted_http import serve  # noqa: E402
from hosted_relay import Relay  # noqa: E402
from hosted_servers import Engine, Service  # noqa: E402
from hosted_store import Store  # noqa: E402

HOST = "callers.example"
CALL_PREFIX = "/call/"
SCORE_PREFIX = "/score/"
JOB_PREFIX = "/job/"
MODELS = ("model-a", "model-b")
SLOTS = 4


class Machine:
    """A process of the product with its settings file."""

    def __init__(self, deployment, name, role, machine_class, address, extra):
        self.deployment = deployment
        self.name = name
        self.role = role
        self.address = address
        self.settings = {"NodeName": name, "MachineClass": machine_class, "Ip": address, "Zone": "zone-" + name[-1],
                         "Region": "region", **deployment.common_settings(), **extra}
        self.path = os.path.join(deployment.dir, name + ".conf")
        self.log_path = os.path.join(deployment.dir, name + ".log")
        self.handle = None
        self.restart_lock = threading.Lock()
        # Length of the log when the process was started.
        self.log_start = 0
        # Exit codes of processes that ended by themselves other than well.
        self.bad_exits = []

    def start(self):
        with open(self.path, "w", encoding="utf-8") as file:
            file.write("".join("%s=%s\n" % pair for pair in self.settings.items()))
        with open(self.log_path, "ab") as log:
            self.log_start = log.tell()
            self.handle = subprocess.Popen([self.deployment.binary, self.role, "--hosted", "--metrics-port",
                                            str(self.deployment.port + 4)], stdout=log, stderr=log,
                                           stdin=subprocess.DEVNULL, env={**os.environ, "ENDIVEROAD_BOOT": self.path})

    def has_started(self):
        """True once the process handles signals, or has ended. One that gets SIGTERM earlier ends by it."""
        with open(self.log_path, "rb") as log:
            log.seek(self.log_start)
            return b"ProcessStarted" in log.read() or self.handle.poll() is not None

    def signal(self, number):
        self.handle.send_signal(number)

    def kill(self):
        if self.handle and self.handle.poll() is None:
            self.signal(signal.SIGCONT)
            self.signal(signal.SIGKILL)
            self.handle.wait()
        elif self.handle and self.handle.returncode not in (0, -signal.SIGKILL):
            self.bad_exits.append(self.handle.returncode)

    def restart(self):
        """Several threads may restart a machine; it has one process at a time."""
        with self.restart_lock:
            self.kill()
            self.start()


class Platform:
    """The stand-ins, run by one thread of their own."""

    def __init__(self, prefix, entries, coordinators, engines, services, is_relayed=False):
        self.prefix = prefix
        # With relays, connections to the store, the servers and the coordinators can be harmed; by name of what they
        # lead to.
        self.is_relayed = is_relayed
        self.relays = {}
        self.sizes = (entries, coordinators, engines, services)
        self.loop = asyncio.new_event_loop()
        self.store = None
        # Rows of organisations in the configuration; it declares none if None.
        self.organisations = None
        self.engines = []
        self.services = []
        self.thread = threading.Thread(target=self.loop.run_forever, daemon=True)
        self.thread.start()
        self.run(self._start())

    def run(self, coroutine):
        return asyncio.run_coroutine_threadsafe(coroutine, self.loop).result(30)

    async def _start(self):
        self.store = Store()
        server = await serve(self.prefix + ".1", 0, self.store.handle)
        self.store_port = await self._relayed("store", self.prefix + ".1", server.sockets[0].getsockname()[1])
        asyncio.create_task(self.store.expire_leases())
        _, _, engines, services = self.sizes
        for number in range(engines):
            host = "%s.%d" % (self.prefix, 60 + number)
            engine = Engine(self.store, "engines", "engine-%d" % number, "", "zone-a", SLOTS, MODELS)
            await self._serve(engine, host)
            self.engines.append(engine)
        for number in range(services):
            host = "%s.%d" % (self.prefix, 120 + number)
            service = Service(self.store, "plain", "plain-%d" % number, "", "zone-a", 6)
            await self._serve(service, host)
            self.services.append(service)

    async def _serve(self, server, host):
        port = await self._relayed(server.id, host, await server.start(host))
        server.address = "%s:%d" % (host, port)
        asyncio.create_task(server.beat())

    async def _relayed(self, name, host, port):
        """Port at which callers reach a server that listens on the given one."""
        if not self.is_relayed:
            return port
        self.relays[name] = Relay(host, port)
        return await self.relays[name].start(host)

    async def relay_peers(self, name, host, port, own_port):
        """Others reach a coordinator at the port at which they expect it; it listens at one of its own."""
        self.relays[name] = Relay(host, own_port)
        await self.relays[name].start(host, port)
        self.store.translations["%s:%d" % (host, own_port)] = "%s:%d" % (host, port)

    def configure(self, version, routes=None):
        document = configuration(version) if routes is None else {**configuration(version), "Routes": routes}
        if self.organisations is not None:
            document["Tenants"] = self.organisations
        self.run(self.store.write("op/config", json.dumps(document)))

    def name_version(self, model, version):
        self.run(self.store.write("op/version/" + model, json.dumps({"Model": model, "Version": version})))


def route(name, prefix, kind, service, **fields):
    return {"Name": name, "Host": HOST, "PathPrefix": prefix, "Kind": kind, "TimeoutMs": 8000, "SloMs": 400,
            "Priority": 1, "Service": service, "MaxAttempts": 3, **fields}


def configuration(version):
    return {"Version": version,
            "Routes": [route("call", CALL_PREFIX, "idempotent", "plain"),
                       route("once", "/once/", "non_idempotent", "plain"),
                       route("score", SCORE_PREFIX, "idempotent", "plain"),
                       route("stream", "/stream/", "streaming", "engines", Resumable=True),
                       route("job", JOB_PREFIX, "rollout", "engines", ResultDueMs=20000, MaxQueueS=60)],
            "Services": [{"Name": "engines", "HealthPath": "/healthz", "MaxConns": 100, "Protocol": "h1", "Tls": False,
                          "Engine": {"Slots": SLOTS, "Models": [{"Name": name} for name in MODELS]}},
                         {"Name": "plain", "HealthPath": "/healthz", "MaxConns": 100, "Protocol": "h1", "Tls": False}],
            "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 1 << 20, "HeaderTimeoutMs": 3000,
                       "IdleTimeoutMs": 5000}}


class HostedDeployment:
    """All processes of a small deployment. Each deployment has its own part of the loopback range."""

    def __init__(self, binary, entries=2, coordinators=3, engines=3, services=2, is_relayed=False, number=None):
        self.binary = binary
        self.dir = tempfile.mkdtemp(prefix="endiveroad-hosted-")
        number = number or os.getpid()
        prefix = "127.%d.%d" % (64 + number // 250 % 128, 1 + number % 250)
        self.platform = Platform(prefix, entries, coordinators, engines, services, is_relayed)
        self.prefix = prefix
        self.port = 20000 + number % 20000
        # API key of each request that states none itself; none if None.
        self.key = None
        # Bodies of scoring calls that are not empty, by item.
        self.scoring_bodies = {}
        self.entries = [Machine(self, "entry-%d" % i, "entry", "edge", "%s.%d" % (prefix, 10 + i), {
            "Listen.Front": "%s.%d:%d" % (prefix, 10 + i, self.port + 1),
            "Listen.Ready": "%s.%d:%d" % (prefix, 10 + i, self.port + 2)}) for i in range(entries)]
        self.coordinators = [Machine(self, "coordinator-%d" % i, "coordinator", "storage",
                                     "%s.%d" % (prefix, 40 + i), {}) for i in range(coordinators)]
        if is_relayed:
            for machine in self.coordinators:
                own = self.port + 100
                machine.settings["InternalPorts"] = "%d,%d" % (own, own + 15)
                self.platform.run(self.platform.relay_peers(machine.name, machine.address, self.port, own))
        self.agents = [Machine(self, "agent-%d" % i, "agent", "side", "%s.%d" % (prefix, 160 + i), {
            "app": engine.address}) for i, engine in enumerate(self.platform.engines)]

    def common_settings(self):
        return {"InternalPorts": "%d,%d" % (self.port, self.port + 15),
                "Seeds": ",".join("%s.%d:%d" % (self.prefix, 40 + i, self.port + 3) for i in range(2)),
                "Platform.Address": "%s.1:%d" % (self.prefix, self.platform.store_port),
                "Bounds.GraceS": 8, "Bounds.StatusS": 120, "Bounds.Fenced": "true"}

    def machines(self):
        return self.entries + self.coordinators + self.agents

    def start(self):
        self.platform.configure(1)
        for machine in self.machines():
            machine.start()
        wait_until(lambda: all(self.is_ready(entry) for entry in self.entries), 15)

    def is_ready(self, entry):
        try:
            return self.request(entry, "GET", "/readyz", port=self.port + 2)[0] == 200
        except OSError:
            return False

    def connect(self, entry, timeout=10, port=None):
        return http.client.HTTPConnection(entry.address, port or self.port + 1, timeout=timeout)

    def request(self, entry, method, target, body=b"", headers=None, timeout=10, port=None, kept=None):
        """One request, over a connection of its own unless one is given that the caller keeps."""
        connection = kept or self.connect(entry, timeout, port)
        key = {} if self.key is None else {"X-Api-Key": self.key}
        try:
            connection.request(method, target, body, {"Host": HOST, **key, **(headers or {})})
            response = connection.getresponse()
            return response.status, response.read(), dict(response.getheaders())
        finally:
            if not kept:
                connection.close()

    def call(self, entry, request_id, target=CALL_PREFIX + "x", body=b"body", timeout_ms=3000, kept=None):
        return self.request(entry, "POST", target, body, {"Endiveroad-Request-Id": request_id,
                                                          "Endiveroad-Deadline-Ms": str(timeout_ms)}, kept=kept)

    def submit(self, job, items, model=MODELS[0], oldest=1, patience_s=15, prefix=JOB_PREFIX,
               host=HOST):
        """Submits a job, again after each failure, through one entry after the other. Returns the answers' statuses."""
        rows = [{"Id": item, "Path": prefix + item, "Headers": {"Endiveroad-Model": model},
                 "Body": base64.b64encode(b"prompt of " + item.encode()).decode(), "Tokens": 10,
                 "Group": "group-%d" % (number // 2),
                 "Scorer": {"Id": "score-" + item, "Host": HOST, "Path": SCORE_PREFIX + item,
                            "Body": base64.b64encode(self.scoring_bodies.get(item, b"")).decode()}}
                for number, item in enumerate(items)]
        body = json.dumps({"Step": 0, "Model": model, "MinVersion": oldest, "TargetGroups": 1, "Items": rows})
        statuses = []
        end = time.monotonic() + patience_s
        while time.monotonic() < end:
            entry = self.entries[len(statuses) % len(self.entries)]
            try:
                statuses.append(self.request(entry, "POST", prefix + job, body.encode(),
                                             {"Endiveroad-Request-Id": job, "Content-Type": "application/json",
                                              "Host": host})[0])
            except OSError:
                statuses.append(0)
            if statuses[-1] == 202:
                return statuses
            time.sleep(0.1)
        raise AssertionError("job %s was not accepted: %s" % (job, statuses))

    def read(self, entry, job, after=0, wait_ms=500, host=HOST):
        status, body, _ = self.request(entry, "GET", "/lots/%s?After=%d" % (job, after),
                                       headers={"Endiveroad-Wait-Ms": str(wait_ms), "Host": host})
        return status, json.loads(body) if status == 200 else None

    def read_all(self, job, count, patience_s=25):
        """Reads a job's results through changing entries until there are `count`; checks that positions hold."""
        results = []
        end = time.monotonic() + patience_s
        turn = 0
        while len(results) < count and time.monotonic() < end:
            turn += 1
            try:
                status, page = self.read(self.entries[turn % len(self.entries)], job, len(results))
            except OSError:
                continue
            assert status != 404, "job %s is unknown" % job
            if page:
                results += page["Results"]
                assert page["Next"] == len(results), page
        assert len(results) >= count, "job %s: %d of %d results" % (job, len(results), count)
        return results

    def end(self, job, patience_s=10):
        stop = time.monotonic() + patience_s
        turn = 0
        while time.monotonic() < stop:
            turn += 1
            try:
                if self.request(self.entries[turn % len(self.entries)], "DELETE", "/lots/" + job)[0] == 200:
                    return
            except OSError:
                pass
            time.sleep(0.1)
        raise AssertionError("job %s was not ended" % job)

    def terminate_all(self, patience_s=15):
        """Asks all processes to stop at once, and waits until they have."""
        wait_until(lambda: all(machine.has_started() for machine in self.machines()), patience_s)
        for machine in self.machines():
            if machine.handle.poll() is None:
                machine.signal(signal.SIGCONT)
                machine.signal(signal.SIGTERM)
        wait_until(lambda: all(machine.handle.poll() is not None for machine in self.machines()), patience_s)

    def bad_exits(self):
        """Processes that ended by themselves other than well, killed ones aside."""
        for machine in self.machines():
            machine.kill()
        return {machine.name: machine.bad_exits for machine in self.machines() if machine.bad_exits}

    def close(self, keep=False):
        for machine in self.machines():
            machine.kill()
        if not keep:
            subprocess.run(["rm", "-rf", self.dir], check=False)


def run_case(description, cases, prepare=None, **sizes):
    """Runs the case that the command line names on a deployment of its own; its processes have to end well.

    prepare(deployment) is called before the processes start.
    """
    parser = argparse.ArgumentParser(description=description)
    parser.add_argument("--bin", required=True)
    parser.add_argument("--case", choices=sorted(cases), required=True)
    parser.add_argument("--keep", action="store_true", help="keep settings and logs of the processes")
    arguments = parser.parse_args()
    deployment = HostedDeployment(arguments.bin, **sizes)
    is_passed = False
    try:
        if prepare:
            prepare(deployment)
        deployment.start()
        cases[arguments.case](deployment)
        deployment.terminate_all()
        assert not deployment.bad_exits(), deployment.bad_exits()
        is_passed = True
    finally:
        deployment.close(keep=arguments.keep or not is_passed)
        if not is_passed:
            print("logs: " + deployment.dir, file=sys.stderr)


def names(prefix, count):
    return ["%s-%d" % (prefix, number) for number in range(count)]


def wait_until(condition, patience_s):
    end = time.monotonic() + patience_s
    while not condition():
        if time.monotonic() > end:
            raise AssertionError("the condition did not come true within %g s" % patience_s)
        time.sleep(0.02)
