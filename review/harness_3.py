"""Stand-ins and daemons for the scripts of review 3, on loopback addresses.

The store and the searchers speak what PROTOCOL.md says. The daemons are the
programs of the deploy file, with settings made from its template. Everything
that clients and searchers see goes into record.txt of the case.
"""
import asyncio
import base64
import json
import os
import random
import re
import signal
import socket
import subprocess
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# As the site file of banquina has them.
BOUNDS = {
    "stability_window_ms": 4000, "drain_ms": 3000, "grace_s": 6.0,
    "loss_slack_ms": 200, "config_apply_ms": 3000, "recovery_s": 12,
}
FIELDS = {
    "limits.max_fds": "4100", "limits.cpu_share": "0.25",
    "limits.memory_mb": "260", "bounds.retry_budget_ratio": "0.2",
    "bounds.retry_budget_extra": "56", "platform.value_bytes": "1048576",
    "bootstrap": "true",
}
LIMITS = {"max_header_bytes": 16384, "max_body_bytes": 262144,
          "header_timeout_ms": 3000, "idle_timeout_ms": 15000}
BEAT_S = 1.2
DELIVERY_S = 0.003


class Broken(Exception):
    """The case couldn't run."""


class Record:
    """What was sent, answered and run, with seconds since the start."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w")
        self.began_at = time.monotonic()

    def now(self):
        return time.monotonic() - self.began_at

    def write(self, *words):
        print("%9.3f" % self.now(), *words, file=self.file, flush=True)


_given_ports = set()


def free_port():
    """A port below those that the system gives to outgoing connections."""
    while True:
        port = random.randrange(11000, 14900)
        if port in _given_ports:
            continue
        with socket.socket() as sock:
            try:
                sock.bind(("127.0.0.1", port))
            except OSError:
                continue
        _given_ports.add(port)
        return port


async def read_message(reader):
    """Start line, headers and body of one HTTP message; None at the end."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    body = b""
    if "chunked" in headers.get("transfer-encoding", ""):
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            chunk = await reader.readexactly(size + 2)
            if size == 0:
                break
            body += chunk[:-2]
    elif int(headers.get("content-length", "0")) > 0:
        body = await reader.readexactly(int(headers["content-length"]))
    return lines[0], headers, body


def message(start_line, headers, body=b""):
    lines = [start_line] + ["%s: %s" % pair for pair in headers]
    lines.append("Content-Length: %d" % len(body))
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class Store:
    """The platform's metadata store."""

    def __init__(self, record):
        self.record = record
        self.items = {}
        self.events = []
        self.revision = 100
        self.changed = asyncio.Event()
        self.port = free_port()
        self.address = "127.0.0.1:%d" % self.port
        # Machines that are turned away, and when each one last read.
        self.refused = set()
        self.read_at = {}

    async def start(self):
        self.server = await asyncio.start_server(
            self.serve, "127.0.0.1", self.port)

    async def open_for(self, machine):
        """An address by which the store tells that machine from others."""
        port = free_port()
        await asyncio.start_server(
            lambda reader, writer: self.serve(reader, writer, machine),
            "127.0.0.1", port)
        return "127.0.0.1:%d" % port

    def refuse(self, machines):
        self.refused = set(machines)
        self.changed.set()
        self.changed = asyncio.Event()

    def _note(self, event):
        self.events.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, key, value):
        self.revision += 1
        item = {"key": key, "revision": self.revision,
                "created": self.items.get(key, {}).get("created",
                                                       self.revision),
                "lease_id": 0,
                "value": base64.b64encode(value).decode()}
        self.items[key] = item
        self._note(item)

    def put_json(self, key, value):
        self.put(key, json.dumps(value, separators=(",", ":")).encode())

    def delete(self, key):
        if self.items.pop(key, None):
            self.revision += 1
            self._note({"key": key, "revision": self.revision,
                        "deleted": True})

    async def serve(self, reader, writer, machine=None):
        try:
            while True:
                line, _, _ = await read_message(reader)
                path, _, query = line.split(" ")[1].partition("?")
                args = dict(part.partition("=")[::2]
                            for part in query.split("&") if part)
                self.read_at[machine] = self.record.now()
                status, body = await self.answer(path, args, machine)
                writer.write(message("HTTP/1.1 %d OK" % status,
                                     [("Content-Type", "application/json")],
                                     json.dumps(body).encode()))
                await writer.drain()
        except (asyncio.IncompleteReadError, asyncio.CancelledError, OSError):
            pass
        finally:
            writer.close()

    async def answer(self, path, args, machine):
        if machine in self.refused:
            return 503, {}
        prefix = args.get("prefix", "").replace("%2F", "/")
        if path == "/lavenderrail/kv-range":
            after = args.get("after", "").replace("%2F", "/")
            keys = sorted(k for k in self.items
                          if k.startswith(prefix) and k > after)
            return 200, {"items": [self.items[k] for k in keys[:500]],
                         "has_more": len(keys) > 500,
                         "store_revision": self.revision}
        if path != "/lavenderrail/kv-watch":
            return 404, {}
        after = int(args.get("after", "0"))
        until = time.monotonic() + int(args.get("max_wait_ms", "0")) / 1000
        while True:
            if machine in self.refused:
                return 503, {}
            events = [e for e in self.events if e["revision"] > after and
                      e["key"].startswith(prefix)]
            left = until - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events,
                             "store_revision": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass


class Searcher:
    """A searcher; a case gives it an answer function."""

    def __init__(self, record, store, name, service, zone, answer=None,
                 slots=6):
        self.record, self.store = record, store
        self.name, self.service, self.zone = name, service, zone
        self.slots = slots
        self.answer = answer or sound_answer
        self.port = free_port()
        self.running = 0
        self.sequence = 0
        self.state = "ready"
        self.born = int(time.time() * 1000)
        self.writers = set()
        self.server = None
        self.arrivals = []
        self.runs = []

    async def start(self):
        self.server = await asyncio.start_server(
            self.serve, "127.0.0.1", self.port, backlog=512)
        self.register()

    def register(self):
        self.store.put_json("servers/" + self.name, {
            "service": self.service, "address": "127.0.0.1:%d" % self.port,
            "zone": self.zone, "version": "v1", "slots": self.slots,
            "state": self.state, "cold_remaining_ms": 0,
            "sequence": self.sequence, "born": self.born})

    async def stop(self):
        """Ends the process: its port and its connections close."""
        if self.server:
            self.server.close()
        self.server = None
        for writer in list(self.writers):
            writer.transport.abort()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                line, headers, body = await read_message(reader)
                if line.split(" ")[1] == "/healthz":
                    writer.write(message(
                        "HTTP/1.1 200 OK", [("X-Instance-Id", self.name)]))
                    await writer.drain()
                    continue
                ident = headers.get("x-request-id", "")
                self.arrivals.append((self.record.now(), ident))
                self.record.write("arrived", self.name, ident, line)
                if headers.get("x-expected-instance",
                               self.name) != self.name:
                    writer.write(message("HTTP/1.1 421 Misdirected Request",
                                         [("X-Instance-Id", self.name)]))
                    await writer.drain()
                    continue
                await self.answer(self, line, headers, body, writer)
                await writer.drain()
        except (asyncio.IncompleteReadError, asyncio.CancelledError, OSError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def note_run(self, ident):
        self.runs.append((self.record.now(), ident))
        self.record.write("ran", self.name, ident)

    def answer_headers(self, ident):
        return [("X-Request-Id", ident),
                ("X-Response-Seal", "seal.%s.%s" % (self.name, ident)),
                ("X-Server-Load", "%d,0,%d" % (self.running, self.slots)),
                ("Keep-Alive", "timeout=5")]


async def sound_answer(searcher, line, headers, body, writer):
    """Runs the request for as long as its path says and answers it."""
    ident = headers.get("x-request-id", "")
    work = re.search(r"work=(\d+)", line)
    searcher.note_run(ident)
    searcher.running += 1
    await asyncio.sleep((int(work.group(1)) if work else 5) / 1000)
    searcher.running -= 1
    writer.write(message("HTTP/1.1 200 OK", searcher.answer_headers(ident),
                         b"answer to " + ident.encode()))


class Daemon:
    """One machine: the program of the deploy file with its settings."""

    def __init__(self, record, folder, store, name, zone):
        self.record, self.folder, self.store = record, folder, store
        self.name, self.zone = name, zone
        self.front, self.ready_port, self.control = (
            free_port(), free_port(), free_port())
        self.process = None
        self.store_address = store.address

    def write_settings(self, seeds, first=True):
        """Fills in the template; returns the path of the settings file."""
        fields = dict(FIELDS)
        fields.update({
            "node_name": self.name, "zone": self.zone,
            "listen.front": "127.0.0.1:%d" % self.front,
            "listen.ready": "127.0.0.1:%d" % self.ready_port,
            "listen.control": "127.0.0.1:%d" % self.control,
            "seeds": seeds, "platform.address": self.store_address,
            "bootstrap": "true" if first else "false"})
        with open(os.path.join(ROOT, "deploy", "settings.conf")) as template:
            text = re.sub(r"\{\{([^}]+)\}\}",
                          lambda match: fields[match.group(1)],
                          template.read())
        path = os.path.join(self.folder, self.name + ".conf")
        with open(path, "w") as settings:
            settings.write(text)
        return path

    def start(self, seeds, first=True):
        path = self.write_settings(seeds, first)
        env = {"PATH": os.environ.get("PATH", ""),
               "HOME": os.environ.get("HOME", "/"),
               "LAVENDERRAIL_BOOT": path,
               "LAVENDERRAIL_MAX_VALUE_BYTES": FIELDS["platform.value_bytes"],
               "LAVENDERRAIL_MEMORY_MB": FIELDS["limits.memory_mb"],
               "LAVENDERRAIL_CROSS_ZONE_MEDIANS": "",
               "LAVENDERRAIL_COLD_OVERSHOOT": "",
               "LAVENDERRAIL_COLD_SLACK": ""}
        log = open(os.path.join(self.folder, self.name + ".log"), "ab")
        self.process = subprocess.Popen(
            [os.path.join(ROOT, "target", "bin", "lavenderraild")], cwd=ROOT,
            env=env, stdin=subprocess.DEVNULL, stdout=log, stderr=log)
        log.close()

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(
                "127.0.0.1", self.ready_port)
            writer.write(b"GET /readyz HTTP/1.1\r\nHost: x\r\n"
                         b"Connection: close\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 2)
            writer.close()
            return b" 200 " in line
        except (OSError, asyncio.TimeoutError):
            return False

    def signal(self, number):
        self.record.write("signal", signal.Signals(number).name, self.name)
        self.process.send_signal(number)


class Fleet:
    """Store, searchers and daemons of one case."""

    def __init__(self, folder):
        self.record = Record(folder)
        self.temporary = tempfile.TemporaryDirectory()
        self.store = Store(self.record)
        self.searchers = []
        self.daemons = []
        self.tasks = []

    async def start(self, config, searchers, n_daemons, zones=("z0",),
                    own_store_addresses=False):
        program = os.path.join(ROOT, "target", "bin", "lavenderraild")
        if not os.access(program, os.X_OK):
            raise Broken("no build of the deploy file")
        await self.store.start()
        self.store.put_json("op/config", config)
        for name, service, answer, slots in searchers:
            zone = zones[len(self.searchers) % len(zones)]
            searcher = Searcher(self.record, self.store, name, service, zone,
                                answer, slots)
            await searcher.start()
            self.searchers.append(searcher)
        self.tasks.append(asyncio.ensure_future(self.beat()))
        for i in range(n_daemons):
            self.daemons.append(Daemon(
                self.record, self.temporary.name, self.store,
                "front-%d" % (i + 1), zones[i % len(zones)]))
        for daemon in self.daemons:
            if own_store_addresses:
                daemon.store_address = await self.store.open_for(daemon.name)
            daemon.start(self.seeds())
        for daemon in self.daemons:
            await self.wait_ready(daemon)
        # Traffic starts 10 s after the machines; the fleet is settled sooner.
        await asyncio.sleep(3)

    def seeds(self):
        return ",".join("127.0.0.1:%d" % d.control for d in self.daemons[:3])

    async def wait_ready(self, daemon, seconds=15):
        until = time.monotonic() + seconds
        while not await daemon.is_ready():
            if time.monotonic() > until:
                raise Broken(daemon.name + " is not ready")
            await asyncio.sleep(0.1)

    async def beat(self):
        while True:
            await asyncio.sleep(BEAT_S)
            for searcher in self.searchers:
                if searcher.server:
                    searcher.sequence += 1

    async def stop(self):
        for task in self.tasks:
            task.cancel()
        for daemon in self.daemons:
            if daemon.process and daemon.process.poll() is None:
                daemon.process.kill()
            if daemon.process:
                daemon.process.wait()
        for searcher in self.searchers:
            await searcher.stop()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            subprocess.run(["cp", "-r", self.temporary.name, keep])
        self.temporary.cleanup()


def route(name, prefix, **more):
    out = {"name": name, "host": "search.example", "prefix": prefix,
           "type": "idempotent", "timeout_ms": 6000,
           "target_latency_ms": 600, "priority": 1, "max_attempts": 2}
    out.update(more)
    return out


def config(version, routes, services):
    return {"version": version, "routes": routes,
            "services": [{"name": name, "health_path": "/healthz",
                          "max_connections": 31, "protocol": "h1",
                          "tls": False} for name in services],
            "limits": LIMITS}


def request(path, ident, deadline_ms=6000, method="GET", body=b"",
            headers=()):
    return message("%s %s HTTP/1.1" % (method, path),
                   [("Host", "search.example"), ("X-Request-Id", ident),
                    ("X-Deadline-Ms", str(deadline_ms))] + list(headers),
                   body)


async def ask(record, daemon, path, ident, timeout=8.0, connection=None,
              **more):
    """One client attempt; (status, headers, body), status 0 for a closed
    connection and -1 when nothing came in time."""
    record.write("sent", daemon.name, ident, path)
    try:
        reader, writer = connection or await asyncio.open_connection(
            "127.0.0.1", daemon.front)
        writer.write(request(path, ident, **more))
        line, headers, body = await asyncio.wait_for(
            read_message(reader), timeout)
        status = int(line.split(" ")[1])
    except asyncio.TimeoutError:
        status, headers, body = -1, {}, b""
    except (OSError, asyncio.IncompleteReadError):
        status, headers, body = 0, {}, b""
    if not connection and "writer" in locals():
        writer.close()
    record.write("answered", daemon.name, ident, status)
    return status, headers, body


def run(folder, play, seconds=110):
    """Runs play(fleet), which returns the breaks of the rule as texts."""
    async def main():
        fleet = Fleet(folder)
        try:
            return await asyncio.wait_for(play(fleet), seconds), fleet
        finally:
            await fleet.stop()
    try:
        breaks, fleet = asyncio.run(main())
    except (Broken, asyncio.TimeoutError) as error:
        print("could not run: %r" % (error,))
        sys.exit(2)
    for text in breaks:
        print(text)
    print("broken" if breaks else "held", "(TROUBLE=%d)" % TROUBLE)
    sys.exit(1 if breaks else 0)
