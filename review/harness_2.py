"""Stand-ins and helpers that the scripts of this review share.

Everything runs on loopback: the platform's store and the searchers are
stand-ins in this process, the daemons are the program of the deploy file,
started with its command, environment and settings template.
"""
import asyncio
import base64
import json
import os
import pathlib
import re
import shutil
import socket
import sys
import tempfile
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parent.parent
HOST = "search.example"
CASE_LIMIT_S = 110

# Values of the settings that the template names, as in a small deployment.
BOUNDS = {
    "limits.max_fds": "4100", "limits.cpu_share": "0.25",
    "limits.memory_mb": "260", "platform.value_bytes": "1048576",
    "bounds.retry_budget_ratio": "0.2", "bounds.retry_budget_extra": "56",
    "bootstrap": "true",
}


def trouble():
    return os.environ.get("TROUBLE", "1") != "0"


def free_port():
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return sock.getsockname()[1]


class Record:
    """What was sent, answered and run, one line an event."""

    def __init__(self, path):
        self.start = time.monotonic()
        self.file = open(path, "w")

    def __call__(self, event, **fields):
        text = " ".join(f"{k}={v}" for k, v in fields.items())
        at = time.monotonic() - self.start
        print(f"{at:9.4f} {event} {text}", file=self.file, flush=True)


async def read_message(reader):
    """Head line, headers and body of an HTTP message; None at the end of the
    connection."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    except (asyncio.IncompleteReadError, OSError):
        return None
    lines = head.split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", 0))
    try:
        body = await reader.readexactly(length)
    except (asyncio.IncompleteReadError, OSError):
        return None
    return lines[0], headers, body


def response(status, headers=(), body=b""):
    lines = [f"HTTP/1.1 {status}"]
    lines += [f"{name}: {value}" for name, value in headers]
    lines += [f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode() + body


class Store:
    """The platform's metadata store, for reading and watching."""

    def __init__(self):
        self.items, self.events = {}, []
        self.revision, self.changed = 1, asyncio.Event()

    async def start(self):
        self.port = free_port()
        self.server = await asyncio.start_server(
            self.on_connection, "127.0.0.1", self.port)

    def put(self, key, value):
        self.revision += 1
        item = {"key": key, "revision": self.revision}
        if value is None:
            item["deleted"] = True
            self.items.pop(key, None)
        else:
            text = json.dumps(value).encode()
            item |= {"value": base64.b64encode(text).decode(),
                     "created": self.revision, "lease_id": 0}
            self.items[key] = item
        self.events.append(item)
        self.changed.set()
        self.changed = asyncio.Event()

    async def answer(self, path, query):
        prefix = query.get("prefix", [""])[0]
        if path == "/lavenderrail/kv-range":
            after = query.get("after", [""])[0]
            items = [self.items[key] for key in sorted(self.items)
                     if key.startswith(prefix) and key > after]
            return {"items": items, "has_more": False,
                    "store_revision": self.revision}
        after = int(query["after"][0])
        wait = int(query.get("max_wait_ms", ["0"])[0]) / 1000
        if after == self.revision and wait > 0:
            try:
                await asyncio.wait_for(self.changed.wait(), wait)
            except asyncio.TimeoutError:
                pass
        events = [e for e in self.events if e["revision"] > after]
        return {"events": events, "store_revision": self.revision}

    async def on_connection(self, reader, writer):
        try:
            while message := await read_message(reader):
                url = urllib.parse.urlsplit(message[0].split(" ")[1])
                query = urllib.parse.parse_qs(url.query,
                                              keep_blank_values=True)
                body = json.dumps(await self.answer(url.path, query)).encode()
                writer.write(response(
                    "200 OK", [("Content-Type", "application/json"),
                               ("Store-Era", "1")], body))
                await writer.drain()
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


class Searcher:
    """A sound searcher: runs `slots` requests at a time and queues a few
    more. Cases override what is faulty."""

    def __init__(self, record, name, service, zone="z0", slots=3, queue=6,
                 work_s=0.02):
        self.record, self.name, self.service = record, name, service
        self.zone, self.slots, self.queue = zone, slots, queue
        self.work_s = work_s
        self.running, self.waiting = 0, []
        self.runs, self.n_answers = [], 0

    async def start(self, store):
        self.port = free_port()
        self.server = await asyncio.start_server(
            self.on_connection, "127.0.0.1", self.port)
        store.put(f"servers/{self.name}", self.entry("ready"))

    def entry(self, state):
        return {"service": self.service, "address": f"127.0.0.1:{self.port}",
                "zone": self.zone, "version": "v1", "slots": self.slots,
                "state": state, "cold_remaining_ms": 0, "sequence": 1,
                "born": 1780000000000}

    def is_full(self):
        return (self.running >= self.slots and
                len(self.waiting) >= self.queue)

    async def take_slot(self):
        if self.running < self.slots:
            self.running += 1
            return
        turn = asyncio.get_running_loop().create_future()
        self.waiting.append(turn)
        try:
            await turn
        except asyncio.CancelledError:
            if turn in self.waiting:
                self.waiting.remove(turn)
            elif turn.done() and not turn.cancelled():
                self.free_slot()
            raise

    def free_slot(self):
        while self.waiting:
            turn = self.waiting.pop(0)
            if not turn.done():
                turn.set_result(None)
                return
        self.running -= 1

    def load(self):
        return ("X-Server-Load",
                f"{self.running},{len(self.waiting)},{self.slots}")

    def seal(self, request_id):
        return f"{self.name}.{request_id}.{len(self.runs)}"

    def body(self, request_id):
        return f"{self.name} ran {request_id}".encode()

    async def handle(self, line, headers, body):
        """The answer to one request; None to break the connection off."""
        method, path, _ = line.split(" ")
        if path == "/healthz":
            if self.is_full():
                return response("503 Full", [("X-Not-Executed", "1"),
                                             ("Keep-Alive", "timeout=5")])
            await self.take_slot()
            self.free_slot()
            return response("200 OK", [("X-Instance-Id", self.name),
                                       self.load(),
                                       ("Keep-Alive", "timeout=5")])
        request_id = headers.get("x-request-id", "")
        echo = ("X-Request-Id", request_id)
        if headers.get("x-expected-instance", self.name) != self.name:
            return response("421 Misdirected Request", [echo])
        if self.is_full():
            self.record("shed", id=request_id, searcher=self.name)
            return response("503 Full", [echo, ("X-Not-Executed", "1"),
                                         ("Keep-Alive", "timeout=5")])
        await self.take_slot()
        try:
            return await self.run(request_id, method, path, echo)
        finally:
            self.free_slot()

    async def run(self, request_id, method, path, echo):
        self.runs.append(request_id)
        self.record("run", id=request_id, searcher=self.name, method=method,
                    path=path)
        await asyncio.sleep(self.work_s)
        return response("200 OK", [
            echo, ("X-Response-Seal", self.seal(request_id)), self.load(),
            ("Keep-Alive", "timeout=5")], self.body(request_id))

    async def on_connection(self, reader, writer):
        try:
            while message := await read_message(reader):
                answer = await self.handle(*message)
                if answer is None:
                    writer.transport.abort()
                    break
                self.n_answers += 1
                writer.write(answer)
                await writer.drain()
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


def render(template, fields):
    """Fills in fields, and leaves out sections whose field has no value."""
    template = re.sub(r"\{\{#([^}]*)\}\}(.*?)\{\{/\1\}\}",
                      lambda m: m[2] if fields.get(m[1]) else "", template)
    return re.sub(r"\{\{([^}]*)\}\}", lambda m: fields.get(m[1], ""),
                  template)


def read_role():
    """Command, template and environment of the deploy file's only role."""
    text = (ROOT / "deploy/system.toml").read_text()
    role = dict(re.findall(r'^(run|template) = "([^"]*)"', text, re.M))
    env = re.search(r"^env = \{(.*)\}$", text, re.M)
    role["env"] = dict(re.findall(r'(\w+) = "([^"]*)"', env[1] if env else ""))
    return role


class Daemon:
    """One daemon, started as the deploy file says."""

    def __init__(self, record, folder, name, zone, store, seeds):
        self.record, self.name = record, name
        self.front, self.ready = free_port(), free_port()
        self.peer = seeds[name]
        role = read_role()
        fields = BOUNDS | {
            "node_name": name, "zone": zone,
            "listen.front": f"127.0.0.1:{self.front}",
            "listen.ready": f"127.0.0.1:{self.ready}",
            "listen.control": f"127.0.0.1:{self.peer}",
            "seeds": ",".join(f"127.0.0.1:{port}" for port in
                              list(seeds.values())[:3]),
            "platform.address": f"127.0.0.1:{store.port}",
        }
        self.settings = pathlib.Path(folder) / f"{name}.conf"
        self.settings.write_text(render((ROOT / role["template"]).read_text(),
                                        fields))
        self.log = open(pathlib.Path(folder) / f"{name}.log", "ab")
        self.command = role["run"].split(" ")
        self.environ = {"PATH": os.environ["PATH"],
                        "LAVENDERRAIL_BOOT": str(self.settings)}
        self.environ |= {key: render(value, fields)
                         for key, value in role["env"].items()}
        self.process = None

    async def start(self):
        self.process = await asyncio.create_subprocess_exec(
            *self.command, cwd=ROOT, env=self.environ, stdout=self.log,
            stderr=self.log, stdin=asyncio.subprocess.DEVNULL)
        self.record("started", daemon=self.name)

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1",
                                                           self.ready)
            writer.write(b"GET /readyz HTTP/1.1\r\nHost: ready\r\n"
                         b"Connection: close\r\n\r\n")
            message = await asyncio.wait_for(read_message(reader), 1)
            writer.close()
            return bool(message) and " 200 " in message[0]
        except (OSError, asyncio.TimeoutError):
            return False

    async def wait_ready(self, limit_s=15):
        end = time.monotonic() + limit_s
        while not await self.is_ready():
            if time.monotonic() > end:
                raise RuntimeError(f"{self.name} did not become ready")
            await asyncio.sleep(0.05)

    def signal(self, number):
        self.record("signal", daemon=self.name, number=int(number))
        self.process.send_signal(number)

    async def end(self):
        if self.process and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()


def config(version, routes, services):
    return {"version": version, "routes": routes, "services": [
        {"name": name, "health_path": "/healthz", "max_connections": cap,
         "protocol": "h1", "tls": False} for name, cap in services.items()],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144,
                   "header_timeout_ms": 3000, "idle_timeout_ms": 15000}}


def request(method, path, request_id, deadline_ms, body=b""):
    lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}",
             f"X-Request-Id: {request_id}", f"X-Deadline-Ms: {deadline_ms}"]
    if body:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines + ["", ""]).encode() + body


class Setup:
    """Store, searchers and daemons of one run, and what ends them."""

    def __init__(self, folder):
        self.record = Record(folder / "record.txt")
        self.folder = tempfile.mkdtemp()
        self.store, self.daemons = Store(), []

    async def start_daemons(self, zones):
        seeds = {f"front-{zone}-{i}": free_port()
                 for i, zone in enumerate(zones)}
        for name, zone in zip(seeds, zones):
            self.daemons.append(Daemon(self.record, self.folder, name, zone,
                                       self.store, seeds))
        for daemon in self.daemons:
            await daemon.start()
        for daemon in self.daemons:
            await daemon.wait_ready()

    async def end(self):
        for daemon in self.daemons:
            await daemon.end()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


def main(case, folder):
    """Runs case(setup), which returns the list of broken promises, and exits
    as the review asks: 1 broken, 0 held, 2 could not run."""

    async def run():
        setup = Setup(folder)
        try:
            await setup.store.start()
            return await asyncio.wait_for(case(setup), CASE_LIMIT_S)
        finally:
            await setup.end()

    try:
        broken = asyncio.run(run())
    except Exception as error:  # whatever kept the case from running
        print(f"could not run: {error!r}", file=sys.stderr)
        sys.exit(2)
    for line in broken:
        print(line)
    print(f"trouble={int(trouble())} broken={len(broken)}")
    sys.exit(1 if broken else 0)
