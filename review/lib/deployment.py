"""A small deployment on loopback for the scripts of the review: the platform's
store, searchers and clients as stand-ins, and the project's daemons as
separate processes, started with the command and the settings template of the
deploy file."""
import asyncio
import base64
import json
import os
import random
import re
import signal
import socket
import struct
import subprocess
import tempfile
import time
from urllib.parse import unquote

ROOT = os.path.dirname(
    os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
DAEMON = os.path.join(ROOT, "target", "bin", "lavenderraild")
TEMPLATE = os.path.join(ROOT, "deploy", "settings.conf")
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2

DRAIN_S = 3.0
STABILITY_S = 4.0


class CannotRun(Exception):
    """The case couldn't be set up, which tells nothing of the rule."""


def free_port(address="127.0.0.1"):
    """A port below those that the system gives to outgoing connections."""
    while True:
        port = random.randint(10000, 30000)
        with socket.socket() as sock:
            try:
                sock.bind((address, port))
                return port
            except OSError:
                continue


class Record:
    """What was sent, answered and run, with the seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.began = time.monotonic()

    def now(self):
        return time.monotonic() - self.began

    def add(self, event, **fields):
        now = self.now()
        text = " ".join(f"{key}={value}" for key, value in fields.items())
        self.file.write(f"{now:8.3f} {event} {text}\n")
        return now

    def close(self):
        self.file.close()


class Message:
    """A request or a response."""

    def __init__(self, start, headers, body):
        self.start = start
        self.headers = headers
        self.body = body
        # When its first byte had arrived, seconds of the steady clock.
        self.at = 0.0

    def get(self, name):
        return self.headers.get(name.lower(), "")

    @property
    def target(self):
        return self.start.split(" ")[1]

    @property
    def status(self):
        return int(self.start.split(" ")[1])


async def read_message(reader):
    """The next message of a connection; None at its end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    try:
        body = await reader.readexactly(int(headers.get("content-length", 0)))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return Message(lines[0], headers, body)


def compose(status, reason, headers=(), body=b""):
    lines = [f"HTTP/1.1 {status} {reason}"]
    lines += [f"{name}: {value}" for name, value in headers]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


def reset(writer):
    """Closes a connection so that its peer sees a reset."""
    sock = writer.get_extra_info("socket")
    if sock is not None:
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                            struct.pack("ii", 1, 0))
        except OSError:
            pass
    writer.transport.abort()


class Store:
    """The platform's metadata store."""

    def __init__(self):
        self.items = {}
        self.events = []
        self.revision = 100
        self.changed = asyncio.Event()
        self.down = False
        self.port = 0
        self.server = None
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def set_down(self, down):
        """While it is down, it resets every connection."""
        self.down = down
        if down:
            for writer in list(self.writers):
                reset(writer)

    def write(self, key, value):
        """Writes a value, or removes the key when it is None."""
        self.revision += 1
        if value is None:
            self.items.pop(key, None)
            self.events.append({"key": key, "revision": self.revision,
                                "deleted": True})
        else:
            text = json.dumps(value).encode()
            created = self.items.get(key, {}).get("created", self.revision)
            item = {"key": key, "value": base64.b64encode(text).decode(),
                    "revision": self.revision, "created": created,
                    "lease_id": 0}
            self.items[key] = item
            self.events.append(item)
        self.changed.set()
        self.changed = asyncio.Event()

    def value(self, key):
        return json.loads(base64.b64decode(self.items[key]["value"]))

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while not self.down:
                request = await read_message(reader)
                if request is None or self.down:
                    break
                answer = await self.answer(request)
                if self.down:
                    break
                writer.write(answer)
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            self.writers.discard(writer)
            if self.down:
                reset(writer)
            else:
                writer.close()

    async def answer(self, request):
        path, _, query = request.target.partition("?")
        arguments = dict(part.partition("=")[::2]
                         for part in query.split("&"))
        if path == "/lavenderrail/kv-range":
            return self.reply(self.page(unquote(arguments.get("after", ""))))
        if path != "/lavenderrail/kv-watch":
            return compose(404, "Not Found")
        after = int(arguments.get("after", 0))
        wait = int(arguments.get("max_wait_ms", 0)) / 1000
        if after > self.revision:
            return compose(410, "Gone")
        until = time.monotonic() + wait
        while after == self.revision and time.monotonic() < until:
            try:
                await asyncio.wait_for(self.changed.wait(),
                                       until - time.monotonic())
            except asyncio.TimeoutError:
                break
        events = [event for event in self.events if event["revision"] > after]
        return self.reply({"events": events})

    def page(self, after):
        """At most 500 items or 1 MB, and one item at the least."""
        keys = [key for key in sorted(self.items) if key > after]
        items = []
        size = 0
        for key in keys[:500]:
            size += len(self.items[key]["value"])
            if items and size > 1000000:
                break
            items.append(self.items[key])
        return {"items": items, "has_more": len(items) < len(keys)}

    def reply(self, body):
        body["store_revision"] = self.revision
        return compose(200, "OK", [("Content-Type", "application/json")],
                       json.dumps(body).encode())


class Searcher:
    """A searcher. behave, if set, is asked first how to treat a request: it
    returns None for the usual way, or a coroutine's response bytes; b"" resets
    the connection."""

    def __init__(self, deployment, name, service, zone="z1", slots=6,
                 work_s=0.16):
        self.deployment = deployment
        self.record = deployment.record
        self.id = name
        self.service = service
        self.zone = zone
        self.slots = asyncio.Semaphore(slots)
        self.n_slots = slots
        self.work_s = work_s
        self.behave = None
        # Added to all of its answers.
        self.statements = []
        self.state = "ready"
        self.sequence = 0
        self.born = int(time.time() * 1000)
        self.port = 0
        self.server = None
        self.writers = set()
        # Machines whose connections are reset, by their IP.
        self.cut_from = set()
        # Connections that it takes from all callers together, and how many of
        # them while more requests wait than it has slots.
        self.max_connections = 96
        self.max_when_busy = 96
        self.n_waiting = 0
        # (seconds, request id) of all requests that reached it, and the ids
        # of those that it began to work on.
        self.arrivals = []
        self.runs = []

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1",
                                                 self.port)
        self.port = self.server.sockets[0].getsockname()[1]
        self.register()

    def register(self):
        self.sequence += 1
        self.deployment.store.write("servers/" + self.id, {
            "service": self.service, "address": f"127.0.0.1:{self.port}",
            "zone": self.zone, "version": "v1", "slots": self.n_slots,
            "state": self.state, "cold_remaining_ms": 0,
            "sequence": self.sequence, "born": self.born})
        return self.record.add("registered", server=self.id, state=self.state)

    def drop_entry(self):
        self.deployment.store.write("servers/" + self.id, None)
        return self.record.add("entry_removed", server=self.id)

    def stop(self):
        """Ends it as a crash does."""
        self.server.close()
        for writer in list(self.writers):
            reset(writer)

    def cut(self, source):
        """Partitions a machine from this searcher: connections from it are
        reset, open and new ones."""
        self.cut_from.add(source)
        for writer in list(self.writers):
            if writer.get_extra_info("peername")[0] == source:
                reset(writer)

    def heal(self, source):
        self.cut_from.discard(source)

    async def serve(self, reader, writer):
        busy = self.n_waiting > self.n_slots
        limit = self.max_when_busy if busy else self.max_connections
        if (writer.get_extra_info("peername")[0] in self.cut_from
                or len(self.writers) >= limit):
            self.record.add("resets", server=self.id)
            reset(writer)
            return
        self.writers.add(writer)
        try:
            while True:
                request = await read_message(reader)
                if request is None:
                    break
                answer = await self.answer(request)
                if not answer:
                    reset(writer)
                    break
                writer.write(answer)
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def answer(self, request):
        if request.target == "/healthz":
            return compose(200, "OK", [("X-Instance-Id", self.id)])
        if request.get("X-Expected-Instance") not in ("", self.id):
            return compose(421, "Misdirected Request",
                           [("X-Instance-Id", self.id)])
        name = request.get("X-Request-Id")
        self.arrivals.append((self.record.add("arrives", server=self.id,
                                              id=name), name))
        if self.behave is not None:
            answer = await self.behave(self, request)
            if answer is not None:
                return answer
        return await self.run(request)

    async def run(self, request, body=None):
        name = request.get("X-Request-Id")
        self.n_waiting += 1
        async with self.slots:
            self.n_waiting -= 1
            self.record.add("runs", server=self.id, id=name)
            self.runs.append(name)
            await asyncio.sleep(self.work_s)
        body = f"{self.id} {name}\n".encode() if body is None else body
        return compose(200, "OK", [
            ("X-Request-Id", name), ("X-Response-Seal", self.seal(name)),
            ("X-Server-Load", f"0,0,{self.n_slots}"),
            ("Keep-Alive", "timeout=5"), *self.statements], body)

    def seal(self, name):
        return f"{self.id}.{name}"

    def reject(self, name, headers=()):
        """Turns a request away that it has not run."""
        self.record.add("rejects", server=self.id, id=name)
        return compose(503, "Service Unavailable",
                       [("X-Not-Executed", "1"), *headers, *self.statements])


class Machine:
    """A machine of the system: one daemon of the deploy file."""

    def __init__(self, deployment, number, zone):
        self.deployment = deployment
        self.name = f"front-{zone}-{number}"
        self.zone = zone
        self.address = "127.0.0.1"
        self.front = free_port()
        self.ready = free_port()
        self.control = free_port()
        self.process = None
        self.bootstrap = True
        # On a machine of its own it connects to searchers from its own IP.
        self.source = f"127.0.1.{number}"

    def settings(self):
        fields = {
            "node_name": self.name, "zone": self.zone,
            "listen.front": f"{self.address}:{self.front}",
            "listen.ready": f"{self.address}:{self.ready}",
            "listen.control": f"{self.address}:{self.control}",
            "seeds": self.deployment.seeds(),
            "bootstrap": "true" if self.bootstrap else "false",
            "platform.address": self.deployment.store_address(),
            "limits.max_fds": "1000", "limits.cpu_share": "0.25",
            "bounds.retry_budget_ratio": "0.2",
            "bounds.retry_budget_extra": "56",
        }
        with open(TEMPLATE, encoding="utf-8") as file:
            text = file.read() + f"target-source={self.source}\n"
        return re.sub(r"\{\{([a-z_.]+)\}\}", lambda m: fields[m.group(1)],
                      text)

    def start(self):
        folder = self.deployment.folder
        path = os.path.join(folder, self.name + ".conf")
        with open(path, "w", encoding="utf-8") as file:
            file.write(self.settings())
        log = open(os.path.join(folder, self.name + ".log"), "ab")
        self.process = subprocess.Popen(
            [DAEMON], cwd=ROOT, stdout=log, stderr=log,
            stdin=subprocess.DEVNULL,
            env={"PATH": os.environ.get("PATH", ""), "LANG": "C",
                 "HOME": folder, "LAVENDERRAIL_BOOT": path})
        log.close()
        self.bootstrap = False

    def signal(self, number):
        if self.process and self.process.poll() is None:
            self.process.send_signal(number)

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(self.address,
                                                           self.ready)
        except OSError:
            return False
        writer.write(b"GET /readyz HTTP/1.1\r\nHost: x\r\n"
                     b"Connection: close\r\n\r\n")
        answer = await read_message(reader)
        writer.close()
        return answer is not None and answer.status == 200


class Connection:
    """A connection that a client keeps open."""

    def __init__(self, deployment, machine):
        self.deployment = deployment
        self.machine = machine
        self.reader = self.writer = None

    async def ask(self, name, target, deadline_ms=6000, method="GET",
                  body=b"", host="q.example"):
        """Sends a request; returns the answer, None when the connection ended
        without one."""
        record = self.deployment.record
        self.deployment.sent_at[name] = record.add(
            "sent", id=name, to=self.machine.name, target=target)
        try:
            if self.writer is None:
                self.reader, self.writer = await asyncio.open_connection(
                    self.machine.address, self.machine.front)
            length = f"Content-Length: {len(body)}\r\n" if body else ""
            self.writer.write(
                (f"{method} {target} HTTP/1.1\r\nHost: {host}\r\n"
                 f"X-Request-Id: {name}\r\nX-Deadline-Ms: {deadline_ms}\r\n"
                 f"{length}\r\n").encode() + body)
            answer = await asyncio.wait_for(read_message(self.reader),
                                            deadline_ms / 1000 + 1)
        except (OSError, asyncio.TimeoutError):
            answer = None
        if answer is not None:
            self.deployment.status[name] = answer.status
        record.add("answered", id=name,
                   status=answer.status if answer else "none",
                   seal=answer.get("X-Response-Seal") if answer else "")
        if answer is None or answer.get("Connection").lower() == "close":
            self.close()
        return answer

    def close(self):
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None


class Deployment:
    def __init__(self, record_path):
        self.record = Record(record_path)
        self.store = Store()
        self.machines = []
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.n_requests = 0
        self.tasks = set()
        # Machine that each request was sent to, by its id.
        self.sent_to = {}
        # When each request was sent, and the status of its answer.
        self.sent_at = {}
        self.status = {}
        self.version = 0

    def store_address(self):
        return f"127.0.0.1:{self.store.port}"

    def seeds(self):
        return ",".join(f"{m.address}:{m.control}" for m in self.machines[:3])

    def configure(self, routes, services):
        """Stores a configuration; returns when it was confirmed."""
        self.version += 1
        self.store.write("op/config", {
            "version": self.version, "routes": routes,
            "services": [{"name": name, "health_path": "/healthz",
                          "max_connections": 96} for name in services],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144,
                       "header_timeout_ms": 5000, "idle_timeout_ms": 15000}})
        return self.record.add("confirmed", version=self.version)

    async def start(self, zones=("z1", "z2", "z3")):
        if not os.access(DAEMON, os.X_OK):
            raise CannotRun("target/bin/lavenderraild isn't built")
        await self.store.start()
        for i, zone in enumerate(zones):
            self.machines.append(Machine(self, i + 1, zone))
        for machine in self.machines:
            machine.start()

    async def wait_ready(self, limit_s=15):
        until = time.monotonic() + limit_s
        for machine in self.machines:
            while not await machine.is_ready():
                if time.monotonic() > until:
                    raise CannotRun(machine.name + " doesn't get ready")
                await asyncio.sleep(0.1)
        self.record.add("ready")

    def new_id(self, machine):
        self.n_requests += 1
        name = f"{self.n_requests:016x}"
        self.sent_to[name] = machine.name
        return name

    def spawn(self, coroutine):
        task = asyncio.ensure_future(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    async def traffic(self, target, per_s, for_s, deadline_ms=6000):
        """Open-loop traffic, over all machines in turn, on connections that
        are kept open. In the target, {n} is the number of the request."""
        idle = {machine.name: [] for machine in self.machines}

        async def one(machine, n):
            pool = idle[machine.name]
            connection = pool.pop() if pool else Connection(self, machine)
            await connection.ask(self.new_id(machine),
                                 target.replace("{n}", str(n)), deadline_ms)
            if connection.writer is not None:
                pool.append(connection)

        began = time.monotonic()
        for i in range(int(per_s * for_s)):
            delay = began + i / per_s - time.monotonic()
            if delay > 0:
                await asyncio.sleep(delay)
            self.spawn(one(self.machines[i % len(self.machines)], i))

    async def stop(self):
        for machine in self.machines:
            machine.signal(signal.SIGCONT)
            machine.signal(signal.SIGTERM)
        until = time.monotonic() + 7
        for machine in self.machines:
            if machine.process is None:
                continue
            while machine.process.poll() is None and time.monotonic() < until:
                await asyncio.sleep(0.05)
            if machine.process.poll() is None:
                machine.signal(signal.SIGKILL)
            machine.process.wait()
        for task in list(self.tasks):
            task.cancel()
        self.record.close()
        if os.environ.get("KEEP_LOGS") != "1":
            for name in os.listdir(self.folder):
                os.unlink(os.path.join(self.folder, name))
            os.rmdir(self.folder)


def single_route(service, name="card", prefix="/card/", kind="idempotent",
                 timeout_ms=6000, max_attempts=3):
    return {"name": name, "host": "q.example", "prefix": prefix, "type": kind,
            "timeout_ms": timeout_ms, "target_latency_ms": 600, "priority": 2,
            "max_attempts": max_attempts, "service": service}


def run(case, folder):
    """Runs a case: a coroutine function of a Deployment that returns a list of
    the breaks it saw. Gives the exit status."""

    async def main():
        deployment = Deployment(os.path.join(folder, "record.txt"))
        try:
            breaks = await asyncio.wait_for(case(deployment), 105)
            for line in breaks:
                deployment.record.add("BREAK", what=line)
        finally:
            await deployment.stop()
        return breaks

    try:
        breaks = asyncio.run(main())
    except Exception as error:  # pylint: disable=broad-except
        print("could not run:", repr(error))
        return NOT_RUN
    for line in breaks[:10]:
        print("broken:", line)
    print("rule broken" if breaks else "rule held")
    return BROKEN if breaks else HELD
