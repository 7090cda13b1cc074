#!/usr/bin/env python3
"""Randomized fault soak of the routed contract: real processes on loopback.

Starts the stand-in of the store and the searchers, and daemons, each behind a
proxy that can delay, reset, cut one way or silence its connections to the
store and to its peers. Callers send requests while a seeded schedule stops,
pauses, kills and restarts daemons and makes searchers and the store misbehave.
What callers and searchers see is checked against the promises of the pages.

    soak.py --bin DIR --seed N [--seconds S] [--daemons N] [--plant KIND]

The last line is "seed=N ... violations=K"; the exit status is 1 when K > 0.
Only processes that it started are ended, by their ids.
"""
import argparse
import asyncio
import collections
import ctypes
import hashlib
import json
import random
import signal
import socket
import struct
import subprocess
import sys
import time
import urllib.parse

ZONES = ("z0", "z1", "z2")
SHARDS = ("a", "b", "c")
SINGLE = "one"
DEADLINE_MS = 2000
# Bounds of the stated promises, in seconds; loopback is as fast as the pages'.
CONFIG_APPLY_S = 3.0
DRAIN_S = 3.0
GRACE_S = 6.0
RECOVERY_S = 12.0
# Time for the system to load a program.
LOADING_S = 0.1
BUDGET_RATIO, BUDGET_EXTRA, BUDGET_WINDOW_S = 0.2, 60, 10.0
# A limited searcher gets at most this in a window, from some seconds after it
# first named its limit.
LIMIT_RATIO, LIMIT_EXTRA, LIMIT_WINDOW_S, LIMIT_KNOWN_S = 1.5, 5, 4.0, 4.0
# A request that has crashed three searchers reaches searchers at most this
# often later than the stability window after the third crash.
CRASHES_KNOWN, CRASH_RETRIES, STABILITY_S = 3, 3, 4.0
# Requests that may be on their way when a searcher asks a daemon for a pause,
# and how many may reach it later than that.
PAUSE_SLACK_S, PAUSE_RETRIES = 0.5, 2
LONGEST_PAUSE_S = 3
# From this many daemons of a zone on, some gather for the others, so that a
# request does not tell which daemon sent it to a searcher.
FORWARDING_DAEMONS = 8


# While a daemon is cut off from all searchers, its callers are served at least
# this share as often as another daemon's, but for a few, after this time.
STRANDED_SHARE, STRANDED_FAILURES, STRANDED_TRIES = 2 / 3, 10, 24
STRANDED_KNOWN_S = STABILITY_S
# Nothing reaches an evacuated zone later than this; seeds divisible by the
# number evacuate zones, so that the schedules of the others stay as they were.
EVACUATE_S, EVACUATING_SEEDS = 5.0, 5
# Seeds divisible by this one let the configuration grow, to as many routes, on
# links that are as slow as those of the smallest hosts.
GROWING_SEEDS, MAX_EXTRA_ROUTES, SLOW_LINK_BYTES_PER_S = 11, 4000, 1250000
SO_ATTACH_FILTER = 26
CUT_KINDS = ("hang", "reset", "reset-new")


def drop_packets(sock, source):
    """Makes a socket drop what comes from an IP number; from none for ''."""
    load_source, equals, ret = 0x20, 0x15, 0x06
    code = [(load_source, 0, 0, 0xfff00000 + 12)]
    if source:
        ip = struct.unpack("!I", socket.inet_aton(source))[0]
        code += [(equals, 0, 1, ip), (ret, 0, 0, 0)]
    code += [(ret, 0, 0, 0xffffffff)]
    program = ctypes.create_string_buffer(
        b"".join(struct.pack("HBBI", *step) for step in code))
    sock.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, struct.pack(
        "HL", len(code), ctypes.addressof(program)))


class Proxy:
    """Forwards one port to another; its mode applies to open and new links.
    Links that come from one IP number can be cut."""

    def __init__(self, port, target):
        self.port, self.target, self.mode = port, target, "pass"
        self.links = set()
        self.cut_source, self.cut_kind = "", ""
        self.bytes_per_s = None

    def cut(self, source, kind):
        self.cut_source, self.cut_kind = source, kind
        hanging = source if kind == "hang" else ""
        for sock in self.server.sockets:
            drop_packets(sock, hanging)
        for pair in list(self.links):
            peer = pair[0].get_extra_info("peername")
            if not peer:
                continue
            drop_packets(pair[0].get_extra_info("socket"), hanging)
            if peer[0] == source and kind == "reset":
                for writer in pair:
                    writer.transport.abort()

    async def start(self):
        self.server = await asyncio.start_server(
            self.on_link, "127.0.0.1", self.port)

    async def on_link(self, reader, writer):
        peer = writer.get_extra_info("peername")
        is_cut = (peer and peer[0] == self.cut_source and
                  self.cut_kind.startswith("reset"))
        if self.mode == "refuse" or is_cut:
            writer.transport.abort()
            return
        try:
            up_reader, up_writer = await asyncio.open_connection(
                "127.0.0.1", self.target)
        except OSError:
            writer.transport.abort()
            return
        pair = (writer, up_writer)
        self.links.add(pair)
        try:
            await asyncio.gather(self.pump(reader, up_writer, "there"),
                                 self.pump(up_reader, writer, "back"))
        except asyncio.CancelledError:
            pass  # the run is over
        self.links.discard(pair)

    async def pump(self, reader, writer, way):
        try:
            while data := await reader.read(65536):
                while self.mode in ("silent", "cut-" + way):
                    await asyncio.sleep(0.02)
                if self.mode == "delay":
                    await asyncio.sleep(0.05)
                if self.bytes_per_s:
                    await asyncio.sleep(len(data) / self.bytes_per_s)
                writer.write(data)
                await writer.drain()
        except OSError:
            pass
        writer.close()

    def reset(self):
        for pair in list(self.links):
            for writer in pair:
                writer.transport.abort()


class Soak:
    def __init__(self, options):
        self.options = options
        self.random = random.Random(options.seed)
        self.base = options.port
        self.processes = {}
        self.started = []
        self.spawned = {}
        # One fault at a time ends and starts a daemon; others overlap.
        self.restarting = {i: asyncio.Lock()
                           for i in range(1, options.daemons + 1)}
        self.proxies = {}
        # Every second seed has proxies in front of the searchers, which look
        # different when they crash: their ports reset instead of refuse.
        self.with_cuts = options.seed % 2 == 0
        self.searcher_proxies = []
        self.cut_lock = asyncio.Lock()
        self.cut_now = ("", "")
        self.violations = collections.Counter()
        self.examples = []
        self.sent = {}
        self.counts = collections.Counter()
        self.searchers = {}
        self.left = {}
        # Rate limits that searchers named: name, start, end, requests/s.
        self.limits = []
        self.limited = set()
        # Searchers that say in all responses that they are leaving, since when,
        # and pauses: name, start, end, seconds that it asks for.
        self.said_leaving = {}
        self.pauses = []
        # Daemons that were cut off from all searchers, each beside another
        # one, when, and how many tries were served at both.
        self.cuts_seen = []
        # Request targets that crash searchers, one at a time.
        self.crashing = []
        self.crash_lock = asyncio.Lock()
        self.restore_lock = asyncio.Lock()
        self.configs = []
        self.grows = options.seed % GROWING_SEEDS == 0
        self.extra_routes = 0
        self.disturbed_until = {}
        # Daemons that a fault kept from taking part: name, start, end.
        self.disturbances = []
        self.store_disturbances = []
        self.next_id = 0
        self.stopping = False

    # -- processes ---------------------------------------------------------

    def spawn(self, name, arguments):
        log = open("%s/%s.log" % (self.options.logs, name), "ab")
        self.processes[name] = subprocess.Popen(
            arguments, stdout=log, stderr=subprocess.STDOUT)
        self.started.append(self.processes[name])
        self.spawned[name] = time.monotonic()
        log.close()

    def port(self, i, what):
        return self.base + 20 * i + what

    def source(self, i):
        """The IP number from which a daemon connects to searchers."""
        return "127.0.1.%d" % i

    def start_daemon(self, i):
        address = "127.0.0.1:%d"
        self.spawn("d%d" % i, [
            self.options.bin + "/lavenderraild", "--contract=platform",
            "--name=d%d" % i, "--zone=" + ZONES[i % self.options.zones],
            "--speed=%g" % (0.5 if i <= 3 else 0.12),
            "--listen=" + address % self.port(i, 1),
            "--operator-listen=" + address % self.port(i, 2),
            "--peer-listen=" + address % self.port(i, 3),
            "--peer-address=" + address % self.port(i, 4),
            "--target-source=" + self.source(i),
            "--seeds=%s,%s" % (address % self.port(1, 4),
                               address % self.port(2, 4)),
            "--config-url=http://" + address % self.port(i, 5),
            "--probe-ms=300", "--watch-wait-ms=2000", "--watch-retry-ms=200",
            "--drain-wait-ms=1000", "--stop-limit-ms=5400",
            "--budget-ratio=%g" % BUDGET_RATIO,
            "--budget-extra=%d" % BUDGET_EXTRA, "--budget-daemons=%d" %
            self.options.daemons, "--hedge-medians=3", "--linger-ms=400",
            "--answer-margin-ms=10", "--connect-timeout-ms=300",
            "--seed=%d" % (self.options.seed + i)])

    def kill_all(self):
        for process in self.started:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
                process.wait()

    # -- the stand-in's control --------------------------------------------

    async def control(self, call, body=""):
        status, _, text = await self.http(self.base, "POST",
                                          "/control/" + call, {}, body)
        if status != 200:
            raise RuntimeError("stand-in refused %s: %s" % (call, text))

    async def runs(self, what):
        _, _, text = await self.http(self.base, "GET", "/control/" + what, {})
        return json.loads(text)["runs"]

    async def http(self, port, method, path, headers, body=""):
        reader, writer = await asyncio.wait_for(
            asyncio.open_connection("127.0.0.1", port), 2)
        try:
            await self.send(writer, method, path, headers, body)
            return await asyncio.wait_for(self.read(reader), 10)
        finally:
            writer.close()

    @staticmethod
    async def send(writer, method, path, headers, body):
        lines = ["%s %s HTTP/1.1" % (method, path), "Host: q.example"]
        lines += ["%s: %s" % item for item in headers.items()]
        lines.append("Content-Length: %d" % len(body))
        writer.write(("\r\n".join(lines) + "\r\n\r\n" + body).encode())
        await writer.drain()

    @staticmethod
    async def read(reader):
        head = (await reader.readuntil(b"\r\n\r\n")).decode()
        lines = head.split("\r\n")
        headers = {}
        for line in lines[1:]:
            if line:
                name, value = line.split(": ", 1)
                headers[name.lower()] = value
        body = await reader.readexactly(
            int(headers.get("content-length", "0")))
        return int(lines[0].split()[1]), headers, body

    async def add_searcher(self, service, k, generation):
        port = self.base + 400 + len(self.searchers)
        name = "%s%d-%d" % (service, k, generation)
        listen = port
        if self.with_cuts:
            listen = port + 300
            proxy = Proxy(port, listen)
            await proxy.start()
            proxy.cut(*self.cut_now)
            self.searcher_proxies.append(proxy)
        await self.control(
            "server?id=%s&service=%s&zone=%s&address=%s&listen=%s" % (
                name, service, ZONES[k % 3],
                urllib.parse.quote("127.0.0.1:%d" % port),
                urllib.parse.quote("127.0.0.1:%d" % listen)))
        self.searchers[name] = service

    async def put_config(self, services):
        version = len(self.configs) + 1
        route = {"host": "q.example", "type": "idempotent", "max_attempts": 2,
                 "timeout_ms": 1500, "target_latency_ms": 300, "priority": 1}
        routes = [
            dict(route, name="wide", prefix="/w/", gather=list(services),
                 top_k=5, min_shard_share=0.6),
            dict(route, name="one", prefix="/o/", service=SINGLE),
            dict(route, name="unsafe", prefix="/u/", service=SINGLE,
                 type="non_idempotent"),
            dict(route, name="mark", prefix="/v%d/" % version,
                 service=SINGLE)]
        routes += [dict(route, name="extra%d" % n, prefix="/extra%d/" % n,
                        service=SINGLE) for n in range(self.extra_routes)]
        await self.control("config", json.dumps({
            "version": version, "routes": routes,
            "services": [{"name": name, "max_connections": 60,
                          "health_path": "/healthz"}
                         for name in (*services, SINGLE)],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 65536,
                       "header_timeout_ms": 3000, "idle_timeout_ms": 15000}}))
        self.configs.append((time.monotonic(), tuple(services)))

    # -- checks ------------------------------------------------------------

    def violate(self, kind, text):
        self.violations[kind] += 1
        if len(self.examples) < 20:
            self.examples.append("%s: %s" % (kind, text))

    def check_answer(self, request, status, headers, body):
        self.counts["%d" % status] += 1
        request["status"] = status
        if status // 100 != 2:
            return
        if request["kind"] != "w":
            seal = headers.get("x-response-seal", "")
            if not seal.startswith("seal-%s-" % request["id"]):
                self.violate("mixed", "%s got seal %r" % (request["id"], seal))
            if headers.get("x-request-id") != request["id"]:
                self.violate("mixed", "%s got another id" % request["id"])
            return
        self.check_parts(request, headers, body)

    def check_parts(self, request, headers, body):
        seals = [seal.strip() for seal in
                 headers.get("x-part-seals", "").split(",") if seal.strip()]
        missing = int(headers.get("x-missing-parts", "0"))
        services = []
        for seal in seals:
            if not seal.startswith("seal-%s-" % request["id"]):
                self.violate("mixed", "part %r in %s" % (seal, request["id"]))
            name = seal[len("seal-%s-" % request["id"]):]
            services.append(self.searchers.get(name, "?"))
        if len(set(services)) != len(services):
            self.violate("mixed", "two parts of one shard: %s" % seals)
        sets = [set(names) for _, names in self.configs]
        if not any(set(services) <= names and
                   len(names) == len(services) + missing for names in sets):
            self.violate("coverage", "%s and %d missing fit no configuration"
                         % (services, missing))
        if len(services) < 0.6 * (len(services) + missing):
            self.violate("coverage", "%d of %d parts" % (
                len(services), len(services) + missing))
        rows = [body[at:at + 16] for at in range(0, len(body), 16)]
        if rows != sorted(rows, reverse=True) or len(rows) != 5:
            self.violate("mixed", "%d records, not falling" % len(rows))
        key = (request["path"], frozenset(services))
        digest = hashlib.sha256(body).hexdigest()
        if self.bodies.setdefault(key, digest) != digest:
            self.violate("mixed", "two merges of the same parts differ")

    def check_runs(self, runs, shed):
        by_id = collections.Counter(run["id"] for run in runs)
        for run in runs:
            request = self.sent.get(run["id"])
            if not request:
                self.violate("unasked", "%s ran at %s: %s" % (
                    run["id"], run["server"], run["target"]))
                continue
            if request["path"] != run["target"]:
                self.violate("unasked", "%s ran as %s" % (
                    run["id"], run["target"]))
            gone = self.left.get(run["server"])
            if gone and run["at_ms"] / 1000 > gone + DRAIN_S and \
                    not self.is_disturbed(run["at_ms"] / 1000):
                self.violate("drain", "%s ran at %s, %.1f s after it left" % (
                    run["id"], run["server"], run["at_ms"] / 1000 - gone))
        for name, request in self.sent.items():
            if request["kind"] != "u":
                continue
            if by_id[name] > 1:
                self.violate("twice", "%s ran %d times" % (name, by_id[name]))
            if request.get("status") in (429, 503, 408, 421) and by_id[name]:
                self.violate("refused", "%s had run" % name)
        self.check_budget(runs)
        for limit in self.limits:
            self.check_limit(runs, *limit)
        for path in self.crashing:
            self.check_crashes(runs, path)
        if self.options.daemons < FORWARDING_DAEMONS:
            for name in self.said_leaving:
                self.check_leaving(runs, name)
            for pause in self.pauses:
                self.check_pause(runs, shed, *pause)

    def daemons_of(self, runs, name, start):
        """Times of requests to a searcher since then, by the daemon asked."""
        times = collections.defaultdict(list)
        for run in runs:
            at = run["at_ms"] / 1000
            if run["server"] == name and at >= start and \
                    run["id"] in self.sent:
                times["d%d" % self.sent[run["id"]]["daemon"]].append(at)
        return times

    def was_calm(self, daemon, start, end):
        """Whether a daemon was not restarted, paused or cut off."""
        return not any(name == daemon and from_ <= end and start <= to
                       for name, from_, to in self.disturbances)

    def check_leaving(self, runs, name):
        """A daemon that has passed on its word sends it nothing more."""
        said = self.said_leaving[name]
        for daemon, times in self.daemons_of(runs, name, said).items():
            # The first response takes less than the slack to be passed on.
            late = [at for at in times if at > min(times) + DRAIN_S +
                    DEADLINE_MS / 1000 and
                    self.was_calm(daemon, min(times), at)]
            if late:
                self.violate("leaving", "%s sent %d requests to %s late" % (
                    daemon, len(late), name))

    def check_pause(self, runs, shed, name, start, end, pause):
        """What a searcher refused with a pause keeps its daemon away, also when
        the searcher would take requests again."""
        ran = self.daemons_of(runs, name, start)
        for daemon, times in self.daemons_of(shed, name, start).items():
            arrived = times + ran[daemon]
            for first in sorted(at for at in times if at < end):
                late = [at for at in arrived
                        if first + PAUSE_SLACK_S < at < first + pause and
                        self.was_calm(daemon, first, at)]
                if len(late) > PAUSE_RETRIES:
                    self.violate("pause", "%s sent %d requests to %s, which "
                                 "wanted none" % (daemon, len(late), name))
                    return

    def check_crashes(self, runs, path):
        """Each run of such a request has crashed a searcher."""
        crashes = sorted(((run["at_ms"] / 1000, run["id"]) for run in runs
                          if run["target"] == path))
        if len(crashes) < CRASHES_KNOWN:
            return
        known = crashes[CRASHES_KNOWN - 1][0] + STABILITY_S
        late = [at for at, name in crashes
                if at > known and self.in_touch(name, at)]
        if len(late) > CRASH_RETRIES:
            self.violate("crash", "%s ran %d times, %d of them late" % (
                path, len(crashes), len(late)))

    def in_touch(self, name, at):
        """Whether nothing had disturbed the daemon that was sent a request."""
        asked = "d%d" % self.sent[name]["daemon"]
        return not any(
            daemon == asked and start <= at <= end + STABILITY_S
            for daemon, start, end in self.disturbances)

    async def check_quarantine(self):
        """No request is refused for crashes but those that cause them."""
        for i in range(1, self.options.daemons + 1):
            _, _, text = await self.http(self.port(i, 2), "GET", "/state", {})
            refused = [row for row in json.loads(text)["quarantine"]
                       if row["condemned"]]
            self.counts["quarantined"] += len(refused)
            if len(refused) > len(self.crashing):
                self.violate("innocent", "d%d refuses %d requests, %d crash" % (
                    i, len(refused), len(self.crashing)))

    def check_limit(self, runs, name, start, end, per_s):
        at = sorted(run["at_ms"] / 1000 for run in runs
                    if run["server"] == name and
                    start <= run["at_ms"] / 1000 < end)
        allowed = LIMIT_RATIO * per_s * LIMIT_WINDOW_S + LIMIT_EXTRA
        for first in at:
            if first < at[0] + LIMIT_KNOWN_S:
                continue
            count = sum(first <= t < first + LIMIT_WINDOW_S for t in at)
            if count > allowed:
                self.violate("limit", "%s takes %d/s and got %d in %.0f s" % (
                    name, per_s, count, LIMIT_WINDOW_S))
                return

    def check_evacuated(self, runs):
        for run in runs:
            at = run["at_ms"] / 1000
            start = at - run["after_ms"] / 1000
            sent = self.sent.get(run["id"])
            daemon = "d%d" % sent["daemon"] if sent else ""
            if run["after_ms"] > EVACUATE_S * 1000 and \
                    self.was_calm(daemon, start, at) and \
                    not self.is_store_disturbed(start, at):
                self.violate("evacuated", "%s reached %s %.1f s after" % (
                    run["id"], run["server"], run["after_ms"] / 1000))

    def is_store_disturbed(self, start, at):
        return any(from_ <= at and start <= to
                   for from_, to in self.store_disturbances)

    def check_budget(self, runs):
        first = {}
        events = collections.defaultdict(list)
        for run in sorted(runs, key=lambda run: run["at_ms"]):
            key = (run["id"], run["service"])
            events[run["service"]].append((run["at_ms"] / 1000, key in first))
            first[key] = True
        for service, rows in events.items():
            for start, _ in rows[::5]:
                def count(at, again):
                    return sum(at <= t < at + BUDGET_WINDOW_S and r == again
                               for t, r in rows)
                most = max(count(start, False),
                           count(start - BUDGET_WINDOW_S, False),
                           count(start - BUDGET_WINDOW_S / 2, False))
                if count(start, True) > BUDGET_RATIO * most + BUDGET_EXTRA:
                    self.violate("budget", "%s from %.1f s" % (service, start))
                    break

    def is_disturbed(self, at):
        return any(start - 4 <= at <= end + 4
                   for start, end in self.disturbed_until.values())

    # -- callers -----------------------------------------------------------

    async def caller(self, n):
        rng = random.Random("%d-%d" % (self.options.seed, n))
        connection = None
        while not self.stopping:
            i = rng.randrange(1, self.options.daemons + 1)
            kind = rng.choice("wwwou")
            self.next_id += 1
            request = {"id": "r%d" % self.next_id, "kind": kind,
                       "path": "/%s/%d" % (kind, rng.randrange(20)),
                       "at": time.monotonic(), "daemon": i}
            self.sent[request["id"]] = request
            if connection and rng.random() < 0.1:
                connection[1].close()
                connection = None
            connection = await self.ask(request, connection)
            await asyncio.sleep(rng.expovariate(1 / 0.05))
        if connection:
            connection[1].close()

    async def ask(self, request, connection):
        fresh = connection is None
        try:
            if fresh:
                connection = await asyncio.wait_for(
                    asyncio.open_connection(
                        "127.0.0.1", self.port(request["daemon"], 1)), 1) + (
                            request["daemon"],)
            reader, writer, request["daemon"] = connection
            body = "order" if request["kind"] == "u" else ""
            await self.send(writer, "POST" if body else "GET",
                            request["path"],
                            {"X-Request-Id": request["id"],
                             "X-Deadline-Ms": DEADLINE_MS}, body)
            status, headers, body = await asyncio.wait_for(
                self.read(reader), DEADLINE_MS / 1000 + 1)
            self.check_answer(request, status, headers, body)
            if headers.get("connection") == "close":
                writer.close()
                return None
            return connection
        except asyncio.TimeoutError:
            self.counts["no answer"] += 1
            self.note_late(request)
        except (OSError, asyncio.IncompleteReadError):
            self.counts["cut"] += 1
            self.note_cut(request, fresh)
        if connection:
            connection[1].close()
        return None

    def note_late(self, request):
        if not self.was_disturbed(request):
            self.violate("late", "%s had no answer in time" % request["id"])

    def note_cut(self, request, fresh):
        # A kept connection may end just as a request is sent on it.
        if fresh and not self.was_disturbed(request):
            self.violate("lost", "%s was cut off by d%d" % (
                request["id"], request["daemon"]))

    def was_disturbed(self, request):
        name = "d%d" % request["daemon"]
        start, end = self.disturbed_until.get(name, (0, 0))
        return start - 3 <= request["at"] <= end + 1

    # -- faults ------------------------------------------------------------

    def disturb(self, name, seconds):
        now = time.monotonic()
        self.disturbed_until[name] = (now, now + seconds)
        self.disturbances.append((name, now, now + seconds))
        if name == "store":
            self.store_disturbances.append((now, now + seconds))

    async def fault_kill(self):
        i = self.random.randrange(1, self.options.daemons + 1)
        async with self.restarting[i]:
            self.disturb("d%d" % i, 2.5)
            self.processes["d%d" % i].kill()
            self.processes["d%d" % i].wait()
            await asyncio.sleep(self.random.uniform(0.2, 1))
            self.start_daemon(i)

    async def fault_stop(self):
        """A planned stop: the balancer's callers are told by 'ready' only."""
        i = self.random.randrange(1, self.options.daemons + 1)
        async with self.restarting[i]:
            await self.stop_daemon(i)
            self.start_daemon(i)

    async def stop_daemon(self, i):
        process = self.processes["d%d" % i]
        started = time.monotonic()
        process.send_signal(signal.SIGTERM)
        # New connections are refused near its end; that is no lost request.
        self.disturb("d%d" % i, GRACE_S + 2)
        while process.poll() is None:
            await asyncio.sleep(0.05)
            if time.monotonic() - started > GRACE_S:
                self.violate("stop", "d%d still runs %.1f s after SIGTERM" % (
                    i, GRACE_S))
                process.kill()
                process.wait()
        # A process that has not reached its own code yet knows no stop.
        loading = process.returncode == -signal.SIGTERM and \
            started - self.spawned["d%d" % i] < LOADING_S
        if process.returncode != 0 and not loading:
            self.violate("stop", "d%d ended with %d" % (i, process.returncode))

    async def fault_pause(self):
        i = self.random.randrange(1, self.options.daemons + 1)
        seconds = self.random.uniform(0.5, 2.5)
        self.disturb("d%d" % i, seconds + 1)
        self.processes["d%d" % i].send_signal(signal.SIGSTOP)
        await asyncio.sleep(seconds)
        self.processes["d%d" % i].send_signal(signal.SIGCONT)

    async def fault_hangup(self):
        for i in range(1, self.options.daemons + 1):
            name = "d%d" % i
            # A process that has not reached its own code yet ends by SIGHUP.
            loading = time.monotonic() - self.spawned[name] < LOADING_S
            if self.processes[name].poll() is None and not loading:
                self.processes[name].send_signal(signal.SIGHUP)

    async def fault_link(self):
        name, proxy = self.random.choice(list(self.proxies.items()))
        proxy.mode = self.random.choice(
            ["delay", "silent", "cut-there", "cut-back", "refuse"])
        self.disturb("links", 4)
        now = time.monotonic()
        self.disturbances.append(
            ("d" + name.lstrip("peerstor"), now, now + 3))
        if self.random.random() < 0.5:
            proxy.reset()
        await asyncio.sleep(self.random.uniform(0.5, 3))
        proxy.mode = "pass"

    async def fault_stranded(self):
        """A daemon loses its links to all searchers, and only those."""
        if not self.with_cuts:
            return
        i, other = self.random.sample(range(1, self.options.daemons + 1), 2)
        async with self.cut_lock:
            start = time.monotonic()
            self.cut_searchers(i, self.random.choice(CUT_KINDS))
            await asyncio.sleep(STRANDED_KNOWN_S)
            served = {i: 0, other: 0}
            for n in range(STRANDED_TRIES):
                for daemon in served:
                    served[daemon] += await self.is_served(daemon, "wou"[n % 3])
            end = time.monotonic()
            calm = all(self.was_calm("d%d" % daemon, start - 3, end)
                       for daemon in served)
            self.cut_searchers(i, "")
        self.cuts_seen.append((i, other, calm, served))
        # Other daemons sent its requests meanwhile.
        self.disturbances.append(("d%d" % i, start, end + 1))

    def cut_searchers(self, i, kind):
        self.cut_now = (self.source(i) if kind else "", kind)
        for proxy in self.searcher_proxies:
            proxy.cut(self.source(i), kind)

    async def is_served(self, i, kind):
        self.next_id += 1
        request = {"id": "s%d" % self.next_id, "kind": kind,
                   "path": "/%s/stranded" % kind, "at": time.monotonic(),
                   "daemon": i}
        self.sent[request["id"]] = request
        connection = await self.ask(request, None)
        if connection:
            connection[1].close()
        return request.get("status") == 200

    def check_stranded(self, i, other, calm, served):
        if (calm and served[i] < STRANDED_SHARE * served[other] and
                STRANDED_TRIES - served[i] > STRANDED_FAILURES):
            self.violate("stranded", "d%d, cut off, served %d of %d, d%d %d"
                         % (i, served[i], STRANDED_TRIES, other,
                            served[other]))

    async def fault_store(self):
        name = self.random.choice(["down", "lose", "compact"])
        self.disturb("store", 4)
        await self.control("store?name=%s&value=1" % name)
        await asyncio.sleep(self.random.uniform(0.5, 3))
        if name != "compact":
            await self.control("store?name=%s&value=0" % name)

    async def fault_restore(self):
        """The store comes back from a copy; what was lost is written again."""
        if self.restore_lock.locked():
            return
        async with self.restore_lock:
            await self.control("store?name=copy&value=1")
            # A key that is written several times is written again once, so
            # that the revisions after it are lower than before.
            for _ in range(self.random.randrange(5)):
                await self.put_config(SHARDS)
                await asyncio.sleep(self.random.uniform(0, 1))
            away = self.random.choice([0, 0.3, 2])
            self.disturb("store", away + 1)
            await self.control("store?name=down&value=1")
            await asyncio.sleep(away)
            await self.control("store?name=restore&value=1")
            await self.control("store?name=down&value=0")
            await asyncio.sleep(self.random.uniform(0, 0.5))
            await self.control("store?name=rewrite&value=1")

    async def fault_searcher(self):
        name = self.random.choice(list(self.searchers))
        fault, value = self.random.choice(
            [("pause_ms", 400), ("shed", 60), ("error", 50), ("lose", 30),
             ("foreign", 30)])
        if name in self.left:
            return
        await self.control("fault?id=%s&name=%s&value=%d" % (
            name, fault, value))
        await asyncio.sleep(self.random.uniform(1, 3))
        await self.control("fault?id=%s&name=%s&value=0" % (name, fault))

    async def fault_limit(self):
        """Searchers of one service name a rate limit for some seconds."""
        service = self.random.choice((*SHARDS, SINGLE))
        names = [name for name, of in self.searchers.items()
                 if of == service and name not in self.left and
                 name not in self.limited]
        names = self.random.sample(names, min(len(names), 2))
        per_s = self.random.randrange(3, 20)
        self.limited.update(names)
        start = time.monotonic()
        for name in names:
            await self.control("fault?id=%s&name=limit&value=%d" % (
                name, per_s))
        await asyncio.sleep(self.random.uniform(5, 9))
        for name in names:
            self.limits.append((name, start, time.monotonic(), per_s))
            await self.control("fault?id=%s&name=limit&value=0" % name)
        self.limited.difference_update(names)

    async def fault_crash(self):
        """A request crashes each searcher that begins it, and comes again."""
        if self.crash_lock.locked():
            return
        async with self.crash_lock:
            kind = self.random.choice("wo")
            path = "/%s/crash%d" % (kind, len(self.crashing))
            control = "crash?target=%s&open=%d&for_ms=" % (
                path, self.random.random() < 0.3)
            self.crashing.append(path)
            await self.control("%s%d" % (
                control, self.random.randrange(1000, 3000)))
            end = time.monotonic() + 2 * STABILITY_S
            while time.monotonic() < end:
                self.next_id += 1
                request = {"id": "r%d" % self.next_id, "kind": kind,
                           "path": path, "at": time.monotonic(),
                           "daemon": self.random.randrange(
                               1, self.options.daemons + 1)}
                self.sent[request["id"]] = request
                connection = await self.ask(request, None)
                if connection:
                    connection[1].close()
                await asyncio.sleep(self.random.uniform(0.1, 0.5))
            await self.control(control + "0")

    def replaceable(self):
        """A searcher that neither leaves nor names a limit; None for none."""
        names = [name for name in self.searchers if name not in self.left and
                 name not in self.said_leaving and name not in self.limited]
        return self.random.choice(names) if names else None

    async def fault_leaving(self):
        """A searcher is replaced, and only its responses say so at first."""
        name = self.replaceable()
        if not name:
            return
        self.said_leaving[name] = time.monotonic()
        await self.add_searcher(self.searchers[name],
                                self.random.randrange(3),
                                len(self.searchers))
        await self.control("fault?id=%s&name=leaving&value=1" % name)
        await asyncio.sleep(self.random.uniform(5, 8))
        await self.control("entry?id=%s" % name)
        self.left[name] = time.monotonic()

    async def fault_busy(self):
        """Searchers refuse all requests and ask for a pause. In a long one no
        route names them for a while."""
        service = self.random.choice((*SHARDS, SINGLE))
        names = [name for name, of in self.searchers.items()
                 if of == service and name not in self.left]
        names = self.random.sample(names, self.random.randint(1, len(names)))
        pause = self.random.randint(1, LONGEST_PAUSE_S)
        start = time.monotonic()
        for name in names:
            await self.control("fault?id=%s&name=retry_after&value=%d" % (
                name, pause))
            await self.control("fault?id=%s&name=shed&value=100" % name)
        refusing_s = self.random.uniform(1, 4)
        if service in SHARDS and pause == LONGEST_PAUSE_S:
            refusing_s /= 2
        await asyncio.sleep(refusing_s)
        for name in names:
            await self.control("fault?id=%s&name=shed&value=0" % name)
            await self.control("fault?id=%s&name=retry_after&value=0" % name)
            self.pauses.append((name, start, time.monotonic(), pause))
        if service in SHARDS and pause == LONGEST_PAUSE_S:
            await self.put_config([of for of in SHARDS if of != service])
            await asyncio.sleep(refusing_s / 4)
            await self.put_config(SHARDS)

    async def fault_release(self):
        """A searcher is replaced: the new one starts, the old one drains."""
        name = self.replaceable()
        if not name:
            return
        service = self.searchers[name]
        await self.add_searcher(service, self.random.randrange(3),
                                len(self.searchers))
        await self.control("entry?id=%s&state=draining" % name)
        self.left[name] = time.monotonic()

    async def fault_config(self):
        await self.put_config(SHARDS[:self.random.choice([2, 3])])
        await self.check_config(len(self.configs))

    async def check_config(self, version):
        """Every daemon that nothing disturbs has it within the bound."""
        acked = self.configs[version - 1][0]
        await asyncio.sleep(max(0, acked + CONFIG_APPLY_S - time.monotonic()))
        if self.is_disturbed(time.monotonic()):
            return
        for i in range(1, self.options.daemons + 1):
            if len(self.configs) != version or self.stopping:
                return
            await self.check_version(i, version)

    async def check_version(self, i, version):
        self.next_id += 1
        name = "r%d" % self.next_id
        path = "/v%d/x" % version
        self.sent[name] = {"id": name, "kind": "v", "path": path,
                           "at": time.monotonic(), "daemon": i}
        try:
            status, _, _ = await self.http(
                self.port(i, 1), "GET", path,
                {"X-Request-Id": name, "X-Deadline-Ms": DEADLINE_MS})
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return
        if status == 404:
            self.violate("config", "d%d lacks version %d" % (i, version))

    async def check_last_config(self):
        """A change after all faults is in force on every daemon."""
        await asyncio.sleep(STABILITY_S)
        await self.put_config(SHARDS)
        await asyncio.sleep(CONFIG_APPLY_S)
        for i in range(1, self.options.daemons + 1):
            await self.check_version(i, len(self.configs))

    def note_failure(self, task):
        if task.exception():
            self.violate("soak", repr(task.exception()))

    async def evacuations(self):
        """Evacuates one zone after the other, with draws of its own."""
        rng = random.Random("evacuate-%d" % self.options.seed)
        while not self.stopping:
            key = urllib.parse.quote("op/evacuate/" + rng.choice(ZONES))
            await self.control("raw?key=" + key, "{}")
            for _ in range(int(10 * rng.uniform(6, 9))):
                if not self.stopping:
                    await asyncio.sleep(0.1)
            await self.control("remove?key=" + key)
            await asyncio.sleep(rng.uniform(0.2, 2))

    async def growths(self):
        """Adds hundreds of routes again and again, with draws of its own."""
        rng = random.Random("grow-%d" % self.options.seed)
        while not self.stopping:
            self.extra_routes = min(
                MAX_EXTRA_ROUTES, self.extra_routes + rng.randrange(200, 1500))
            await self.fault_config()
            await asyncio.sleep(rng.uniform(0.2, 2))

    async def faults(self):
        kinds = [self.fault_kill, self.fault_stop, self.fault_pause,
                 self.fault_hangup, self.fault_link, self.fault_store,
                 self.fault_searcher, self.fault_searcher, self.fault_release,
                 self.fault_config, self.fault_limit, self.fault_crash,
                 self.fault_restore, self.fault_leaving, self.fault_busy,
                 self.fault_stranded]
        tasks = set()
        # What is checked only after some seconds comes first.
        first = [self.fault_stranded, self.fault_limit, self.fault_crash, self.fault_leaving,
                 self.fault_restore]
        kind = first.pop(0)
        while not self.stopping:
            task = asyncio.create_task(kind())
            kind = first.pop(0) if first else self.random.choice(kinds)
            tasks.add(task)
            task.add_done_callback(tasks.discard)
            task.add_done_callback(self.note_failure)
            await asyncio.sleep(self.random.uniform(0.1, 1.5))
        await asyncio.gather(*tasks)

    # -- the run -----------------------------------------------------------

    async def served(self, i):
        try:
            status, _, _ = await self.http(
                self.port(i, 1), "GET", "/w/ready",
                {"X-Request-Id": "ready", "X-Deadline-Ms": 1000})
            return status == 200
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return False

    async def wait_served(self, seconds):
        end = time.monotonic() + seconds
        waiting = set(range(1, self.options.daemons + 1))
        self.sent["ready"] = {"id": "ready", "kind": "w", "path": "/w/ready",
                              "at": 0, "daemon": 0}
        while waiting and time.monotonic() < end:
            waiting = {i for i in waiting if not await self.served(i)}
            await asyncio.sleep(0.1)
        return not waiting

    async def set_up(self):
        self.bodies = {}
        self.spawn("standin", [self.options.bin + "/lr-standin-routed",
                               "--store=127.0.0.1:%d" % self.base,
                               "--seconds=600"])
        await asyncio.sleep(0.3)
        for i in range(1, self.options.daemons + 1):
            self.proxies["peer%d" % i] = Proxy(self.port(i, 4),
                                               self.port(i, 3))
            self.proxies["store%d" % i] = Proxy(self.port(i, 5), self.base)
        if self.grows:
            for proxy in self.proxies.values():
                proxy.bytes_per_s = SLOW_LINK_BYTES_PER_S
        for proxy in self.proxies.values():
            await proxy.start()
        for service in (*SHARDS, SINGLE):
            for k in range(3):
                await self.add_searcher(service, k, 0)
        await self.put_config(SHARDS)
        for i in range(1, self.options.daemons + 1):
            self.start_daemon(i)
        if not await self.wait_served(10):
            raise RuntimeError("the daemons do not serve at the start")

    def plant(self, runs, shed):
        """Forges what callers or searchers saw, to show that it is noticed."""
        kind = self.options.plant
        ran = [run for run in runs if run["target"].startswith("/u/")]
        wide = next(request for request in self.sent.values()
                    if request["kind"] == "w" and request["id"] != "ready")
        if kind == "refused":
            self.sent[ran[0]["id"]]["status"] = 503
        elif kind == "twice":
            runs.append(ran[0])
        elif kind == "unasked":
            runs.append(dict(ran[0], id="nobody"))
        elif kind == "drain":
            self.disturbed_until.clear()
            self.left[ran[0]["server"]] = 1.0
        elif kind == "budget":
            runs += [ran[0]] * 2000
        elif kind == "limit":
            at = ran[0]["at_ms"] / 1000
            self.limits.append((ran[0]["server"], at - 6, at + 1, 2))
            runs += [dict(ran[0], at_ms=ran[0]["at_ms"] - 5000)]
            runs += [ran[0]] * 18
        elif kind == "crash":
            self.disturbed_until.clear()
            self.disturbances.clear()
            at = ran[0]["at_ms"]
            self.crashing = [ran[0]["target"]]
            runs += [dict(ran[0], at_ms=at - 9000)] * CRASHES_KNOWN
            runs += [ran[0]] * CRASH_RETRIES
        elif kind == "leaving":
            self.disturbances.clear()
            self.said_leaving[ran[0]["server"]] = 0
            runs += [dict(ran[0], at_ms=ran[0]["at_ms"] - 6000)]
        elif kind == "stranded":
            self.disturbances.clear()
            self.cuts_seen.append((1, 2, True, {1: 2, 2: STRANDED_TRIES}))
        elif kind == "pause":
            self.disturbances.clear()
            at = ran[0]["at_ms"]
            self.pauses.append((ran[0]["server"], 0, at / 1000 + 9, 2))
            shed += [ran[0]] + [dict(ran[0], at_ms=at + 1000)] * 3
        elif kind == "mixed":
            self.check_answer(wide, 200, {
                "x-part-seals": "seal-other-a0-0, seal-other-b0-0",
                "x-missing-parts": "1"}, bytes(80))
        elif kind == "coverage":
            self.check_answer(wide, 200, {
                "x-part-seals": "seal-%s-a0-0" % wide["id"],
                "x-missing-parts": "0"}, bytes(80))

    async def run(self):
        await self.set_up()
        callers = [asyncio.create_task(self.caller(n))
                   for n in range(self.options.callers)]
        faults = asyncio.create_task(self.faults())
        evacuations = None
        if self.options.seed % EVACUATING_SEEDS == 0:
            evacuations = asyncio.create_task(self.evacuations())
            evacuations.add_done_callback(self.note_failure)
        growths = None
        if self.grows:
            growths = asyncio.create_task(self.growths())
            growths.add_done_callback(self.note_failure)
        await asyncio.sleep(self.options.seconds)
        self.stopping = True
        await faults
        if evacuations:
            await evacuations
        if growths:
            await growths
        await asyncio.gather(*callers)
        for proxy in self.proxies.values():
            proxy.mode = "pass"
        if not await self.wait_served(RECOVERY_S):
            self.violate("recover", "not served %.0f s after the last fault"
                         % RECOVERY_S)
        await self.check_quarantine()
        if not self.options.plant:
            await self.check_last_config()
        runs = await self.runs("runs")
        shed = await self.runs("shed")
        evacuated = await self.runs("evacuated")
        if self.options.plant:
            self.plant(runs, shed)
            if self.options.plant == "evacuated":
                self.disturbances.clear()
                self.store_disturbances.clear()
                evacuated.append(dict(runs[0], after_ms=6000))
        self.check_runs(runs, shed)
        self.check_evacuated(evacuated)
        for cut in self.cuts_seen:
            self.check_stranded(*cut)
        self.kill_all()
        for proxy in (*self.proxies.values(), *self.searcher_proxies):
            proxy.reset()
        # Lets the links end before the loop does.
        await asyncio.sleep(0.1)


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--bin", required=True)
    parser.add_argument("--logs", default="/tmp")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=15)
    parser.add_argument("--daemons", type=int, help="default: by the seed")
    parser.add_argument("--zones", type=int, help="default: by the seed")
    parser.add_argument("--callers", type=int, default=12)
    parser.add_argument("--port", type=int, default=29000)
    parser.add_argument("--plant", choices=[
        "refused", "twice", "unasked", "drain", "budget", "mixed",
        "coverage", "limit", "crash", "leaving", "pause", "stranded",
        "evacuated"],
        help="forge one violation, to see it noticed")
    options = parser.parse_args()
    # Every third seed has one zone of nine, in which three gather for all.
    large = options.seed % 3 == 0
    options.daemons = options.daemons or (9 if large else 4)
    options.zones = options.zones or (1 if large else 3)
    soak = Soak(options)
    try:
        asyncio.run(soak.run())
    finally:
        soak.kill_all()
    print("seed=%d requests=%d %s violations=%d %s" % (
        soak.options.seed, len(soak.sent),
        " ".join("%s=%d" % item for item in sorted(soak.counts.items())),
        sum(soak.violations.values()), dict(soak.violations)))
    for example in soak.examples:
        print("  " + example)
    return 1 if soak.violations else 0


if __name__ == "__main__":
    sys.exit(main())
