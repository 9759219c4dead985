"""Case 2: clients that repeat a bad request hold every client socket; usual requests are never answered."""
import os
import pathlib
import random
import select
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))
import standins  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SECONDS = 15
SOCKETS = 256           # LATER: 256 to 1,024 descriptors
SERVERS = 4
# All client connections together: 85, a third of the descriptors (LATER).
BAD_CLIENTS = 80
USUAL_CLIENTS = 5
LATE_S = 0.5            # STANDING: later than half a second after its time a request is lost
WORK_S = {"listen": (0.070, 0.130), "deposit": (0.045, 0.081), "annotate": (0.085, 0.150)}
REST_S = (0.0, 0.2)


class BadClient(threading.Thread):
    """Sends a class that does not exist, reads its error, and sends the same again at once."""

    def __init__(self, case, number):
        super().__init__(daemon=True)
        self.case, self.number, self.errors, self.connections = case, number, 0, 0

    def run(self):
        sent = 0
        while not self.case.stop.is_set():
            try:
                connection = standins.connect(self.case.sidecar.address)
                self.connections += 1
                reader = standins.Reader(connection)
                while not self.case.stop.is_set():
                    sent += 1
                    connection.sendall(standins.request_head(f"b{self.number}-{sent}", "no-such-class", 1000))
                    status = reader.message()[0].split(" ")[1]
                    self.errors += status[0] in "45"
                    self.case.record(f"bad client {self.number} {status}")
            except (standins.Closed, OSError):
                connection.close()


class UsualClient(threading.Thread):
    """One connection of the application: one request at a time."""

    def __init__(self, case, number):
        super().__init__(daemon=True)
        self.case, self.number, self.random = case, number, random.Random(number)
        self.sent = self.served = self.other = self.resent = self.lost = 0

    def run(self):
        connection = None
        while not self.case.stop.is_set():
            time.sleep(self.random.uniform(*REST_S))
            request_class = self.random.choices(["listen", "deposit", "annotate"], [52, 34, 14])[0]
            body = b"v" * (0 if request_class == "listen" else 200)
            if connection and select.select([connection], [], [], 0)[0]:
                connection.close()  # the sidecar has closed it between two requests
                connection = None
            connection = self.request(connection, request_class, body)

    def request(self, connection, request_class, body):
        """Sends one request and waits for its answer. Returns the connection if it can be used again."""
        case = self.case
        deadline_ms = standins.DEADLINE_MS[request_class]
        self.sent += 1
        request_id = f"{self.number:02x}{self.sent:06x}{self.random.getrandbits(32):08x}"
        is_new = connection is None
        try:
            if is_new:
                connection = standins.connect(case.sidecar.address)
            reader = standins.Reader(connection)
            connection.settimeout(deadline_ms / 1000 + LATE_S)
            written = None
            connection.sendall(standins.request_head(request_id, request_class, deadline_ms, len(body)) + body)
            written = time.monotonic()
            status = reader.message()[0].split(" ")[1]
        except (standins.Closed, OSError) as error:
            if connection:
                connection.close()
            waited = time.monotonic() - written if written else 0
            if waited >= deadline_ms / 1000 + LATE_S - 0.01:
                self.lost += 1
                case.record(f"BROKEN client {request_id} {request_class} X-Time-Left {deadline_ms}m: "
                            f"no answer {waited * 1000:.0f} ms after its last byte, "
                            f"on a {'new' if is_new else 'kept'} connection that is open")
            else:
                # The end of a connection crossed the request: PROTOCOL has the client send it once more.
                self.resent += 1
                case.record(f"client {request_id} {request_class} no answer ({error}) after {waited * 1000:.0f} ms")
            return None
        self.served += status == "200"
        self.other += status != "200"
        case.record(f"client {request_id} {request_class} {status}")
        return connection


class Case:
    def __init__(self):
        self.record = standins.Record(FOLDER / "record.txt")
        self.stop = threading.Event()

    def play(self):
        self.record(f"trouble {int(TROUBLE)}")
        servers = [standins.Server(self.record, f"s-{n}", WORK_S, n) for n in range(SERVERS)]
        agent = standins.Agent(self.record, [standins.target(s.name, s.address) for s in servers])
        self.sidecar = standins.Sidecar(self.record, agent, limits={"memory_mb": 64, "sockets": SOCKETS})
        try:
            self.sidecar.start()
            usual = [UsualClient(self, n) for n in range(USUAL_CLIENTS)]
            bad = [BadClient(self, n) for n in range(BAD_CLIENTS)] if TROUBLE else []
            for client in usual:
                client.start()
            time.sleep(3)
            self.record(f"{len(bad)} bad clients connect")
            for client in bad:
                client.start()
            time.sleep(SECONDS)
            self.stop.set()
            for client in usual:
                client.join(3)
            has_crashed = self.sidecar.process.poll() is not None
        finally:
            self.sidecar.end()
        total = {name: sum(getattr(client, name) for client in usual)
                 for name in ("sent", "served", "other", "resent", "lost")}
        summary = (f"usual clients {total}; bad clients: {sum(c.errors for c in bad)} errors on "
                   f"{sum(c.connections for c in bad)} connections; sidecar crashed {has_crashed}")
        self.record(summary)
        self.record.close()
        print(summary)
        if total["served"] < 30:
            print("could not run: too few requests")
            return 2
        is_broken = total["lost"] > 0 or has_crashed
        print("BROKEN" if is_broken else "held")
        return 1 if is_broken else 0


if __name__ == "__main__":
    standins.run_case(lambda: Case().play())
