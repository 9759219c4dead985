"""Stand-ins for the platform, servers and clients, and the starter of the sidecar, for the cases of review/.

They follow PROTOCOL, DEPLOY and STANDING. Every address is a loopback address. Each case adds only the
disruption that it tests.
"""
import ctypes
import json
import os
import pathlib
import queue
import random
import resource
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib

PR_SET_PDEATHSIG = 1  # prctl(2)
ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.setswitchinterval(0.0002)


def free_port(host="127.0.0.1"):
    """A port that is free now."""
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        probe.bind((host, 0))
        return probe.getsockname()[1]


def listening_socket(host="127.0.0.1", port=0):
    acceptor = socket.socket()
    acceptor.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    acceptor.bind((host, port))
    acceptor.listen(512)
    return acceptor


def start_thread(function, *arguments):
    thread = threading.Thread(target=function, args=arguments, daemon=True)
    thread.start()
    return thread


class Record:
    """Writes record.txt: one line an event, with the milliseconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8", buffering=1 << 16)
        self.started = time.monotonic()
        self.lock = threading.Lock()

    def __call__(self, text):
        with self.lock:
            if not self.file.closed:
                self.file.write(f"{(time.monotonic() - self.started) * 1000:10.2f} {text}\n")

    def close(self):
        with self.lock:
            self.file.close()


# ---- messages ----------------------------------------------------------------------------------------------


class Closed(Exception):
    """The peer has closed or reset the connection, or a time limit has passed."""


class Reader:
    """Reads HTTP/1.1 messages from a socket."""

    def __init__(self, connection):
        self.connection = connection
        self.buffer = b""

    def fill(self):
        try:
            data = self.connection.recv(65536)
        except OSError as error:
            raise Closed(type(error).__name__) from error
        if not data:
            raise Closed("end of stream")
        self.buffer += data

    def line(self):
        while b"\r\n" not in self.buffer:
            self.fill()
        line, self.buffer = self.buffer.split(b"\r\n", 1)
        return line.decode("latin-1")

    def exactly(self, size):
        while len(self.buffer) < size:
            self.fill()
        data, self.buffer = self.buffer[:size], self.buffer[size:]
        return data

    def message(self):
        """Returns the first line, the headers (names in lower case) and the body."""
        first = self.line()
        headers = {}
        while True:
            line = self.line()
            if not line:
                break
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
        if headers.get("transfer-encoding", "").lower() == "chunked":
            body = b""
            while True:
                size = int(self.line().split(";")[0], 16)
                body += self.exactly(size)
                self.line()
                if size == 0:
                    return first, headers, body
        return first, headers, self.exactly(int(headers.get("content-length", "0")))


def answer_bytes(status, body, headers=()):
    lines = [f"HTTP/1.1 {status}", f"Content-Length: {len(body)}", *headers]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


# ---- a way that takes time ---------------------------------------------------------------------------------


class DelayProxy:
    """Passes the bytes of each connection on, unchanged and in order, `one_way_s` later in each direction."""

    def __init__(self, target, one_way_s):
        self.target = target
        self.one_way_s = one_way_s
        self.acceptor = listening_socket()
        self.address = self.acceptor.getsockname()
        start_thread(self.accept)

    def accept(self):
        while True:
            try:
                near, _ = self.acceptor.accept()
            except OSError:
                return
            start_thread(self.connect, near)

    def connect(self, near):
        far = socket.socket()
        try:
            far.connect(self.target)
        except OSError:
            near.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
            near.close()
            return
        for side in (near, far):
            side.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        for source, sink in ((near, far), (far, near)):
            pieces = queue.SimpleQueue()
            start_thread(self.read, source, pieces)
            start_thread(self.write, sink, pieces)

    def read(self, source, pieces):
        while True:
            try:
                data = source.recv(65536)
                is_reset = False
            except OSError:
                data, is_reset = b"", True
            pieces.put((time.monotonic() + self.one_way_s, data, is_reset))
            if not data:
                return

    @staticmethod
    def write(sink, pieces):
        while True:
            due, data, is_reset = pieces.get()
            wait = due - time.monotonic()
            if wait > 0:
                time.sleep(wait)
            try:
                if data:
                    sink.sendall(data)
                elif is_reset:
                    sink.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
                    sink.close()
                else:
                    sink.shutdown(socket.SHUT_WR)
            except OSError:
                pass
            if not data:
                return


# ---- servers -----------------------------------------------------------------------------------------------


class Server:
    """A server as PROTOCOL describes it: one request at a time on a connection, a body that names its request."""

    def __init__(self, record, name, work_s, seed, body_bytes=200):
        self.record = record
        self.name = name
        self.work_s = work_s  # class -> (least, most)
        self.random = random.Random(seed)
        self.body_bytes = body_bytes
        self.runs = []  # (id, class) of each request that ran
        self.acceptor = listening_socket()
        self.address = self.acceptor.getsockname()
        start_thread(self.accept)

    def accept(self):
        while True:
            try:
                connection, _ = self.acceptor.accept()
            except OSError:
                return
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            start_thread(self.serve, connection)

    def serve(self, connection):
        reader = Reader(connection)
        try:
            while True:
                _, headers, _ = reader.message()
                request_id = headers.get("x-correlation-id", "")
                request_class = headers.get("x-service-class", "")
                if self.turns_away():
                    self.record(f"server {self.name} turns {request_id} away, unseen")
                    connection.sendall(answer_bytes("503 Service Unavailable", b"", ("X-Unprocessed: 1",)))
                    continue
                self.record(f"server {self.name} runs {request_id}")
                self.runs.append((request_id, request_class))
                self.on_request(connection, request_id)
                time.sleep(self.random.uniform(*self.work_s[request_class]))
                body = f"answer to {request_id} by {self.name} ".encode().ljust(self.body_bytes, b".")
                answer = answer_bytes("200 OK", body, ("Content-Type: text/plain",))
                connection.sendall(answer)
                self.after_answer(connection, reader, answer, request_id)
        except (Closed, OSError):
            connection.close()

    def turns_away(self):
        """Whether the next request is turned away unseen (queue full)."""
        return False

    def on_request(self, connection, request_id):
        """Called when a request that runs has come whole."""

    def after_answer(self, connection, reader, answer, request_id):
        """Called after each 200 answer has been written."""


# ---- the platform ------------------------------------------------------------------------------------------


class Agent:
    """The agent of the endpoint list, where lists are pushed: answers at once, an empty line every 2 s."""

    def __init__(self, record, targets):
        self.record = record
        self.revision = 1
        self.targets = {target["uid"]: target for target in targets}
        self.changes = []  # (revision, target)
        self.changed = threading.Condition()
        self.acceptor = listening_socket()
        self.address = self.acceptor.getsockname()
        start_thread(self.accept)

    def whole(self):
        listed = [target for target in self.targets.values() if target["state"] != "left"]
        return {"rev": self.revision, "all": True, "targets": listed}

    def change(self, uid, **fields):
        with self.changed:
            self.revision += 1
            self.targets[uid] = {**self.targets.get(uid, {}), **fields}
            self.changes.append((self.revision, self.targets[uid]))
            self.record(f"list {self.revision}: {uid} {fields}")
            self.changed.notify_all()

    def accept(self):
        while True:
            try:
                connection, _ = self.acceptor.accept()
            except OSError:
                return
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            start_thread(self.serve, connection)

    def serve(self, connection):
        reader = Reader(connection)
        try:
            while True:
                first, _, _ = reader.message()
                target = first.split(" ")[1]
                if "stream=1" in target:
                    self.watch(connection, int(target.split("index=")[1]))
                    return
                with self.changed:
                    body = json.dumps(self.whole()).encode()
                connection.sendall(answer_bytes("200 OK", body))
        except (Closed, OSError, ValueError):
            connection.close()

    def watch(self, connection, known):
        connection.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        while True:
            with self.changed:
                if self.revision <= known:
                    self.changed.wait(2.0)
                newer = [target for revision, target in self.changes if revision > known]
                line = {"rev": self.revision, "all": False, "targets": newer} if newer else None
                known = self.revision
            text = (json.dumps(line) if line else "").encode() + b"\n"
            connection.sendall(f"{len(text):x}\r\n".encode() + text + b"\r\n")


def target(uid, address, zone="hall-a", state="active"):
    return {"uid": uid, "endpoint": f"{address[0]}:{address[1]}", "az": zone, "model": "standard-4",
            "pod_group": 0, "state": state, "capacity_hint": 1.0, "boot_ms": 0}


# ---- the sidecar -------------------------------------------------------------------------------------------

SEED = "8c1f30d27a5be964"  # the sidecar's; those of servers and clients are their numbers
DEADLINE_MS = {"listen": 1500, "deposit": 1200, "annotate": 1500}
EFFECT = {"listen": "repeatable", "deposit": "once", "annotate": "by_key"}


def class_settings(name, effect, credit, objective_ms, deadline_ms, window_ms, scope="all"):
    return {"name": name, "effect": effect, "credit": credit, "on-time-ms": float(objective_ms),
            "give-up-ms": float(deadline_ms), "late-value": 0.0, "dedup-scope": scope,
            "dedup-window-ms": float(window_ms), "stream": False}


def settings():
    """The settings of the first message in WIRE (voices-archive), for one sidecar."""
    return {"azs": ["hall-a", "hall-b", "hall-c"], "my-zone": "hall-a", "my-number": 0, "siblings": 1,
            "classes": [class_settings("listen", "repeatable", 3.0, 400, DEADLINE_MS["listen"], 5000),
                        class_settings("deposit", "once", 5.0, 300, DEADLINE_MS["deposit"], 5000),
                        class_settings("annotate", "by_key", 3.0, 500, DEADLINE_MS["annotate"], 3000)],
            "clients": {"marks-retry": True}, "membership-mode": "pushed", "models": ["standard-4"],
            "limits": {"connect-timeout-ms": 150.0, "idle-close-ms": 15000.0, "max-attempts": 4,
                       "may-cancel": True, "may-probe": True, "may-tell": True, "parallel-tries": False,
                       "retry-after": True, "streams-per-conn": 1},
            "rules": {"ask-within-ms": 10000.0, "cold-from": 0.16, "fall-ms": 1000.0, "fall-multiple": 2.5,
                      "grace-to-answer-ms": 20.0, "stop-sending-within-ms": 500.0,
                      "warm-within-ms": 20000.0},
            "tier": 0, "weights": "silent", "worth-by": "work"}


class Sidecar:
    """One sidecar, started by the command `run` of the deploy file."""

    def __init__(self, record, agent, limits=None, changes=None):
        with open(ROOT / "deploy" / "balancer.toml", "rb") as file:
            self.command = tomllib.load(file)["run"]
        self.record = record
        self.folder = tempfile.TemporaryDirectory(prefix="review-")
        self.address = ("127.0.0.1", free_port())
        self.limits = {"cores": 1.0, "memory_mb": 192, "sockets": 1024, **(limits or {})}
        listen = f"{self.address[0]}:{self.address[1]}"
        discovery = f"{agent.address[0]}:{agent.address[1]}"
        self.config = {"name": "n0", "listen": listen, "discovery": discovery, "seed": SEED,
                       "limits": self.limits, "known": agent.whole(), "settings": {**settings(), **(changes or {})}}
        self.path = pathlib.Path(self.folder.name) / "config.json"
        self.write_config()
        self.process = None

    def write_config(self):
        new = self.path.with_suffix(".new")
        new.write_text(json.dumps(self.config), encoding="utf-8")
        new.replace(self.path)

    def start(self):
        work = pathlib.Path(self.folder.name) / "tmp"
        work.mkdir(exist_ok=True)
        environment = {**os.environ, "RELAY_NAME": self.config["name"], "RELAY_LISTEN": self.config["listen"],
                       "RELAY_DISCOVERY": self.config["discovery"], "RELAY_CONFIG": str(self.path),
                       "TMPDIR": str(work)}
        self.log = open(pathlib.Path(self.folder.name) / "log", "ab")
        sockets = self.limits["sockets"]

        def before_start():
            resource.setrlimit(resource.RLIMIT_NOFILE, (sockets, sockets))
            ctypes.CDLL(None).prctl(PR_SET_PDEATHSIG, signal.SIGKILL)  # it ends with the script, however that ends

        self.process = subprocess.Popen(["/bin/sh", "-c", self.command], cwd=ROOT, env=environment,
                                        stdin=subprocess.DEVNULL, stdout=self.log, stderr=self.log,
                                        preexec_fn=before_start)
        self.record(f"sidecar starts: {self.command}")
        for _ in range(1500):
            if self.process.poll() is not None:
                raise RuntimeError(f"the sidecar ended at its start with {self.process.returncode}: {self.log_text()}")
            if self.is_up():
                self.record("sidecar is ready")
                return
            time.sleep(0.02)
        raise RuntimeError("the sidecar was not ready within 30 s")

    def is_up(self):
        try:
            with socket.create_connection(self.address, timeout=1) as connection:
                connection.sendall(b"GET /up HTTP/1.1\r\nHost: app.svc\r\nConnection: close\r\n\r\n")
                return Reader(connection).message()[0].split(" ")[1] == "200"
        except (OSError, Closed, IndexError):
            return False

    def signal(self, number):
        self.record(f"sidecar gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    def log_text(self):
        return (pathlib.Path(self.folder.name) / "log").read_text(errors="replace")

    def end(self):
        if self.process and self.process.poll() is None:
            self.process.kill()
            self.process.wait()
        if self.process:
            self.record(f"sidecar has ended with {self.process.returncode}")
        self.folder.cleanup()


# ---- clients -----------------------------------------------------------------------------------------------


def request_head(request_id, request_class, time_left_ms, body_bytes=0, effect=None):
    effect = effect or EFFECT.get(request_class, "repeatable")
    lines = [f"{'GET' if effect == 'repeatable' else 'POST'} /api HTTP/1.1", "Host: app.svc",
             f"X-Correlation-Id: {request_id}", f"X-Service-Class: {request_class}",
             f"X-Time-Left: {time_left_ms}m"]
    if effect == "by_key":
        lines.append(f"Idempotency-Key: key{request_id}")
    if effect != "repeatable":
        lines.append(f"Content-Length: {body_bytes}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n"


def connect(address, timeout=10):
    connection = socket.create_connection(address, timeout=timeout)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return connection


# ---- the end of a case -------------------------------------------------------------------------------------


def run_case(main):
    """Ends the program with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run."""
    status = 2
    try:
        status = main()
    except Exception as error:
        print(f"could not run: {error!r}")
    sys.stdout.flush()
    os._exit(status)  # threads of stand-ins may still wait
