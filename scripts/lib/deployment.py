"""Starts a deployment from examples/ on loopback: stand-ins and endiveroad processes, every port free.

Used by scripts/demo and the process tests. Every process that is started here is ended by close().
"""
import json
import os
import re
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import urllib.request

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))


def strip_comments(text):
    """Removes // comments; the examples hold none inside strings."""
    return re.sub(r"^\s*//.*$", "", text, flags=re.MULTILINE)


class Ports:
    """Free loopback ports chosen by the kernel. The sockets stay bound until release(), so that no two are equal."""

    def __init__(self):
        # A loopback host of its own: connections start from 127.0.0.1, so that neither their ports nor those of
        # another deployment can take a port between release() and the process that listens on it.
        self.host = "127.%d.%d.%d" % tuple(1 + byte % 254 for byte in os.urandom(3))
        self.held = []

    def take(self):
        holder = socket.socket()
        holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        holder.bind((self.host, 0))
        self.held.append(holder)
        return "%s:%d" % (self.host, holder.getsockname()[1])

    def release(self):
        for holder in self.held:
            holder.close()
        self.held = []


def call(method, address, path, body=None, timeout=5):
    """One HTTP call; returns (status, parsed JSON)."""
    data = None if body is None else json.dumps(body).encode()
    request = urllib.request.Request("http://%s%s" % (address, path), data=data, method=method)
    request.add_header("Content-Type", "application/json")
    try:
        with urllib.request.urlopen(request, timeout=timeout) as answer:
            return answer.status, json.loads(answer.read() or b"null")
    except urllib.error.HTTPError as error:
        return error.code, json.loads(error.read() or b"null")


class Process:
    """A process of the deployment that can be killed, frozen and started again."""

    def __init__(self, name, command, log_path):
        self.name = name
        self.command = command
        self.log_path = log_path
        self.handle = None

    def start(self):
        with open(self.log_path, "ab") as log:
            self.handle = subprocess.Popen(self.command, stdout=log, stderr=log, stdin=subprocess.DEVNULL)

    def is_running(self):
        return self.handle is not None and self.handle.poll() is None

    def signal(self, number):
        if self.is_running():
            self.handle.send_signal(number)

    def kill(self):
        if self.handle is None:
            return
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        self.handle.wait()

    def restart(self):
        self.kill()
        self.start()


class Deployment:
    """One organisation at its present size, or smaller by limit (replicas per pool)."""

    def __init__(self, binary, standin, name, limit=None, engine_options=(), work_dir=None, log_level="info",
                 is_relayed=False):
        self.binary = binary
        self.standin = standin
        self.limit = limit
        self.engine_options = list(engine_options)
        self.log_level = log_level
        # With relays between the processes, open connections can be silenced; see routes.
        self.is_relayed = is_relayed
        self.routes = {}
        self.real = {}
        self.dir = tempfile.mkdtemp(prefix="endiveroad-", dir=work_dir)
        self.processes = {}
        self.loads = []
        self.journals = []
        self.entries = {}
        self.servers = {}
        self.peers = {}
        self.pools = {}
        self.ports = Ports()
        self.store = self.ports.take()
        self.relay = self.ports.take()
        self.weights = self.ports.take()
        self._write_settings(os.path.join(ROOT, "examples", name))

    def _write_settings(self, source):
        self.settings_dir = os.path.join(self.dir, "settings")
        for directory, _, files in os.walk(source):
            for file in files:
                path = os.path.join(directory, file)
                with open(path, encoding="utf-8") as stream:
                    node = json.loads(strip_comments(stream.read()))
                self._move_to_loopback(node, os.path.splitext(file)[0])
                target = os.path.join(self.settings_dir, os.path.relpath(path, source))
                os.makedirs(os.path.dirname(target), exist_ok=True)
                with open(target, "w", encoding="utf-8") as stream:
                    json.dump(node, stream, indent=2)

    def _move_to_loopback(self, node, name):
        for entry, declaration in node.get("entries", {}).items():
            declaration["http"] = self.ports.take()
            declaration["peer"] = self._address(entry + ".peer")
            self.entries[entry] = declaration["http"]
            self.peers[entry] = declaration["peer"]
        if "replicas" in node:
            if self.limit:
                node["replicas"] = dict(list(node["replicas"].items())[:self.limit])
            self.pools[name] = node
            for replica, declaration in node["replicas"].items():
                declaration["server"] = self._address(replica + ".server")
                declaration["peer"] = self._address(replica + ".peer")
                self.servers[replica] = declaration["server"]
                self.peers[replica] = declaration["peer"]

    def _address(self, what):
        """Address to declare for what ("NAME.peer" or "NAME.server"); the process binds real[what]."""
        self.real[what] = self.ports.take()
        if not self.is_relayed:
            return self.real[what]
        self.routes[what] = self.ports.take()
        return self.routes[what]

    def silence(self, what):
        """Silences the open connections to what for good; new ones work."""
        call("POST", self.relay, "/fault", {"silence": self.routes[what]})

    def pool_of_kind(self, kind):
        return next(name for name, pool in self.pools.items() if pool.get("kind") == kind)

    def add(self, name, command):
        process = Process(name, command, os.path.join(self.dir, name + ".log"))
        self.processes[name] = process
        process.start()
        return process

    def start(self):
        self.ports.release()
        if self.is_relayed:
            command = [self.standin, "relay", "--listen", self.relay]
            for what, address in self.routes.items():
                command += ["--route", "%s=%s" % (address, self.real[what])]
            self.add("relay", command)
        self.add("kv", [self.standin, "kv", "--listen", self.store])
        self.add("weights", [self.standin, "weights", "--listen", self.weights])
        for pool in self.pools.values():
            for index, replica in enumerate(pool["replicas"]):
                self.add("server-" + replica, self._server_command(pool, replica, index))
        self.wait_for(lambda: call("GET", self.store, "/stats")[0] == 200, "the key-value stand-in")
        self.apply()
        for entry in self.entries:
            self.add(entry, self.node_command("entry", entry))
        for pool in self.pools.values():
            for replica in pool["replicas"]:
                self.add(replica, self.node_command("agent", replica))
        self.wait_for(self.is_ready, "the entries to see every agent")

    def _server_command(self, pool, replica, index):
        command = [self.standin, "", "--listen", self.real[replica + ".server"], "--seed", str(index + 1)]
        kind = pool.get("kind", "service")
        command[1] = kind
        if kind == "engine":
            command += ["--honours-fencing=" + str(pool.get("honoursFencing", True)).lower(),
                        "--states-version=" + str(pool.get("statesVersion", False)).lower(),
                        "--slots", str(pool["call"]["slots"]), "--store", self.weights] + self.engine_options
        if kind == "service":
            journal = os.path.join(self.dir, replica + ".journal")
            self.journals.append(journal)
            command += ["--journal", journal]
        return command

    def node_command(self, role, name):
        command = [self.binary, role, "--name", name, "--store", self.store, "--log-level", self.log_level]
        if self.is_relayed:
            command += ["--peer-listen", self.real[name + ".peer"]]
        for peer in list(self.entries)[:2]:
            if peer != name:
                command += ["--peer", self.peers[peer]]
        return command

    def apply(self):
        subprocess.run([self.binary, "settings", "apply", self.settings_dir, "--store", self.store],
                       check=True, stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL, timeout=30)

    def try_apply(self, changes):
        """Sets single values, {file: [section, key, value]}, and applies the tree; False if the command failed."""
        for file, (section, key, value) in changes.items():
            path = os.path.join(self.settings_dir, file)
            with open(path, encoding="utf-8") as stream:
                node = json.load(stream)
            node.setdefault(section, {})[key] = value
            with open(path, "w", encoding="utf-8") as stream:
                json.dump(node, stream, indent=2)
        try:
            self.apply()
            return True
        except subprocess.SubprocessError:
            return False

    def count_dead(self):
        """Processes that are away although nothing killed them or they were started again since."""
        return sum(not process.is_running() for process in self.processes.values())

    def load(self, command):
        """Starts a trainer or a caller; its verdict comes on its standard output."""
        with open(os.path.join(self.dir, "load-%d.log" % len(self.loads)), "ab") as log:
            self.loads.append(subprocess.Popen(command, stdout=subprocess.PIPE, stderr=log, stdin=subprocess.DEVNULL))
        return self.loads[-1]

    def status(self, name):
        """Status of one process by the product's own command."""
        done = subprocess.run([self.binary, "status", "--self", "--json", "--at", self.peers[name]], stdout=subprocess.PIPE,
                              stderr=subprocess.DEVNULL, timeout=10, check=False)
        return json.loads(done.stdout) if done.returncode == 0 else None

    def is_ready(self):
        for entry in self.entries:
            status = self.status(entry)
            if status is None or set(status["pools"]) != set(self.pools):
                return False
            for pool, replicas in status["pools"].items():
                if sum(replica["isServerUp"] for replica in replicas) != len(self.pools[pool]["replicas"]):
                    return False
        return True

    def wait_for(self, condition, what, seconds=20):
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            try:
                if condition():
                    return
            except (OSError, ValueError):
                pass
            time.sleep(0.05)
        raise RuntimeError("waited in vain for " + what)

    def trainer_command(self, job, **options):
        return self._load_command("trainer", ["--job", job], options)

    def caller_command(self, service, **options):
        extra = ["--service", service]
        for journal in self.journals:
            extra += ["--journals", journal]
        return self._load_command("caller", extra, options)

    def _load_command(self, role, extra, options):
        command = [self.standin, role] + extra
        for entry in self.entries.values():
            command += ["--entries", entry]
        for name, value in options.items():
            command += ["--" + name.replace("_", "-"), str(value)]
        return command

    def close(self, keep=False):
        for load in self.loads:
            load.kill()
            load.wait()
        for process in self.processes.values():
            process.kill()
        if not keep:
            shutil.rmtree(self.dir, ignore_errors=True)
