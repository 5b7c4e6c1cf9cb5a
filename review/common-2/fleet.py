"""Stand-ins that the cases of this review share: servers, discovery, proxies, collectors, and the planner's process.

Everything but the planner runs in the test's own process, on loopback addresses and the real clock. The planner is the
project's own program, started with the command of the deploy file.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
LIST_PATH = "/registry/instances"
HEARTBEAT_S = 2.0  # an empty line comes every 2 s while nothing changes
TOLD_AT_LATEST_S = 6.0  # whatever discovery has to tell counts as told at the latest 6 s later
SLACK_S = 0.3  # the time limits of the rules are longer by 300 ms
ZONES = ["austin-north", "austin-south", "round-rock", "san-marcos"]
CLASSES = ["rate-lookup", "quote-save", "load-book"]


class CannotRunError(Exception):
    """The case could not be carried out, so that nothing is known about the rule."""


class Record:
    """The file `record.txt` of a case; each line begins with the time since the start of the test."""

    def __init__(self, folder: Path) -> None:
        self.file = (folder / "record.txt").open("w", encoding="utf-8")
        self.started = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the start of the test."""
        return time.monotonic() - self.started

    def line(self, text: str) -> None:
        """Write a line."""
        self.file.write(f"{self.now():8.3f} {text}\n")

    def close(self) -> None:
        """Close the file."""
        self.file.close()


def settings(**changes: Any) -> dict[str, Any]:
    """Return the wire page's settings of austin-quotes, but for one planner; changes are `part__key=value`."""
    document: dict[str, Any] = {
        "me": 0,
        "instances": 1,
        "zone": 0,
        "zones": ZONES,
        "kinds": ["std-3", "slow-3"],
        "tick": 2.0,
        "weight_kind": "off",
        "worth_by": "request",
        "discovery": "on_request",
        "load_report": {"columns": ["outstanding"], "source": "inline"},
        "bounds": {"cpu_us_per_s": 250000, "dial_timeout": 250.0, "idle_close": 15000.0, "max_streams": 32,
                   "peers": True, "probes": True},
        "deductions": {"connection": 0.02, "cross_zone": 0.12, "discovery": 0.0, "handshake": 0.04, "late_fail": 0.05,
                       "moves": 0.0, "peer": 0.01, "probe": 0.02, "waste": 0.03},
        "services": [
            {"name": "rate-lookup", "target": 500.0, "deadline": 1200.0, "worth": 1.0, "effect": "repeatable",
             "group": "all", "key_ttl": 5000.0, "late_share": 0.2},
            {"name": "quote-save", "target": 1000.0, "deadline": 3000.0, "worth": 3.0, "effect": "by_key",
             "group": "zone", "key_ttl": 3000.0, "late_share": 0.1},
            {"name": "load-book", "target": 1000.0, "deadline": 3000.0, "worth": 5.0, "effect": "once",
             "group": "all", "key_ttl": 5000.0, "late_share": 0.1},
        ],
        "family": "control",
        "family_info": {
            "agents": 16, "backlog": 5600.0, "by_zone": True, "channel_rate": 3700.0, "cycle": 1000.0,
            "default_size": 6, "exclusive": False, "handover_fee": 0.01, "hold": 300.0, "ingest_rate": 120.0,
            "key_ranges": 0, "late_most": 392.5, "lb_method": "two", "level_kind": "share", "messages_over": 10000.0,
            "mutating": [False, True, True], "order_price": 0.02, "overhead": 4.0, "smallest_conn_table": 370.0,
            "strikes": 0, "tenure": 2500.0, "transit": 157.0, "try_factor": 0.8, "unserved_max": 7200.0,
            "update_cap": 12, "usual_how": 1, "warm_keys": False, "write_life": 3020.0,
            "zone_bound": [False, False, False],
        },
        "obligations": {"ask_within": 10000.0, "cold": 17000.0, "cold_share": 0.19, "drain_grace": 3400.0,
                        "fall_multiple": 4.0, "overload_for": 3000.0},
        "result_mix": {"whole": 0.5, "worst_class": 0.3, "worst_tenant": 0.0, "worst_window": 0.2},
    }  # fmt: skip
    for path, value in changes.items():
        part, _, key = path.partition("__")
        if key:
            document[part][key] = value
        else:
            document[part] = value
    return document


# --- The platform: servers, and the services that list them ---


class Server:
    """A server: answers requests, health checks and load reports until it is stopped."""

    def __init__(self, name: str, zone: str, started_ms: float) -> None:
        self.name = name
        self.zone = zone
        self.started_ms = started_ms
        self.lifecycle = "in_service"
        self.inflight = 0
        self.silent = False  # cut off: connections stay quiet
        self.address = ""
        self.listener: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen on a free port."""
        self.listener = await asyncio.start_server(self.serve, HOST, 0)
        host, port = self.listener.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection."""
        self.writers.add(writer)
        try:
            while line := await reader.readline():
                if self.silent:
                    continue
                if line.startswith(b"GET "):
                    body = f"inflight={self.inflight}".encode() if b"/stats" in line else b""
                    status = b"200 OK" if self.lifecycle == "in_service" else b"503 Service Unavailable"
                    while (await reader.readline()).strip():
                        pass
                    writer.write(b"HTTP/1.1 %b\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%b"
                                 % (status, len(body), body))  # fmt: skip
                    await writer.drain()
                    return
                self.inflight += 1
                try:
                    await asyncio.sleep(0.03)
                finally:
                    self.inflight -= 1
                writer.write(b"ok %d\n" % self.inflight)
        except (OSError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.transport.abort()

    def stop(self) -> None:
        """End everything that this object has started."""
        if self.listener is not None:
            self.listener.close()
        for writer in list(self.writers):
            writer.transport.abort()


class Platform:
    """The servers, and the discovery services that list them; `told` has the first write of each drain or removal."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.servers: dict[str, Server] = {}
        self.services: list[Discovery] = []
        self.told: dict[str, float] = {}
        self.latest_told: dict[str, float] = {}  # what discovery has to tell counts as told 6 s later at the latest

    async def add(self, name: str, zone: str, cold: bool = False) -> Server:
        """Start a server without telling the discovery services."""
        server = Server(name, zone, time.time() * 1000.0 if cold else 0)
        await server.start()
        self.servers[name] = server
        return server

    async def start_listed(self, name: str, zone: str) -> None:
        """Start a new server, and list it."""
        await self.add(name, zone, cold=True)
        self.change(name, "in_service")

    def change(self, name: str, lifecycle: str, stop: bool = True) -> None:
        """Set the state of a server and list it; one that has terminated is stopped, unless it is out of reach."""
        self.servers[name].lifecycle = lifecycle
        if lifecycle != "in_service":
            self.latest_told.setdefault(name, self.record.now() + TOLD_AT_LATEST_S)
        for service in self.services:
            service.change(name)
        if lifecycle == "terminated" and stop:
            self.servers[name].stop()

    def entry(self, name: str) -> dict[str, Any]:
        """Return the entry of a server in discovery's form."""
        server = self.servers[name]
        return {"instanceId": name, "hostPort": server.address, "zone": server.zone, "machineType": "std-3", "cell": 0,
                "lifecycle": server.lifecycle, "weight": 1.0, "startedAtMs": server.started_ms}  # fmt: skip

    def told_at(self, name: str) -> float | None:
        """Return when the planner counts as told that a server drains or is gone; None while it serves."""
        times = [known[name] for known in (self.told, self.latest_told) if name in known]
        return min(times, default=None)

    def written(self, service: Discovery, document: dict[str, Any]) -> None:
        """Note that a service has written a list or changes; a whole list tells what it leaves out too."""
        states = {entry["instanceId"]: entry["lifecycle"] for entry in document["instances"]}
        if document["reset"]:
            states |= dict.fromkeys(self.servers.keys() - states.keys(), "gone")
        for name, lifecycle in states.items():
            if lifecycle != "in_service" and name not in self.told:
                self.told[name] = self.record.now()
                self.record.line(f"discovery {service.label}: told that {name} is {lifecycle}")

    def stop(self) -> None:
        """End everything that this object has started."""
        for service in self.services:
            service.stop()
        for server in self.servers.values():
            server.stop()


class Discovery:
    """A discovery service: the complete list, and watches of its changes. It numbers its generations by itself."""

    def __init__(self, platform: Platform, label: str, generation: int) -> None:
        self.platform = platform
        self.label = label
        self.first_generation = generation
        self.generation = generation
        self.changes: list[tuple[int, dict[str, Any]]] = []
        self.changed = asyncio.Condition()
        self.address = ""
        self.listener: asyncio.Server | None = None
        self.watches: set[asyncio.StreamWriter] = set()
        self.refusals = 0  # so many of the next calls for the whole list are answered with 503
        self.opened = 0  # watches that have brought their first object
        self.stopped: set[asyncio.StreamWriter] = set()  # watches whose heartbeats go on, but not their changes
        platform.services.append(self)

    async def start(self, port: int = 0) -> None:
        """Listen on a port, or on a free one."""
        self.listener = await asyncio.start_server(self.serve, HOST, port)
        host, bound = self.listener.sockets[0].getsockname()[:2]
        self.address = f"{host}:{bound}"

    def change(self, name: str) -> None:
        """Count a generation for the new state of a server, and wake the watches."""
        self.generation += 1
        self.changes.append((self.generation, self.platform.entry(name)))
        self.platform.record.line(f"discovery {self.label}: generation {self.generation}, {self.changes[-1][1]}")
        asyncio.get_running_loop().create_task(self.notify())

    async def notify(self) -> None:
        """Wake the watches."""
        async with self.changed:
            self.changed.notify_all()

    def document(self, since: int | None) -> dict[str, Any]:
        """Return the whole list, or the entries that changed after a generation."""
        if since is None:
            names = [name for name, server in self.platform.servers.items() if server.lifecycle != "terminated"]
            entries = [self.platform.entry(name) for name in names]
        else:
            latest = {entry["instanceId"]: entry for generation, entry in self.changes if generation > since}
            entries = list(latest.values())
        return {"generation": self.generation, "reset": since is None, "instances": entries}

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection."""
        try:
            target = (await reader.readline()).decode().split(" ")[1]
            while (await reader.readline()).strip():
                pass
            query = dict(part.partition("=")[::2] for part in target.partition("?")[2].split("&"))
            self.platform.record.line(f"discovery {self.label}: GET {target}")
            if query.get("follow") == "1":
                await self.watch(writer, int(query["since"]) if "since" in query else None)
                return
            if self.refusals:
                self.refusals -= 1
                self.platform.record.line(f"discovery {self.label}: 503")
                writer.write(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
                await writer.drain()
                return
            document = self.document(None)
            body = json.dumps(document).encode()
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
            await writer.drain()
            self.platform.written(self, document)
        except (OSError, ValueError, IndexError):
            pass
        finally:
            writer.close()

    async def watch(self, writer: asyncio.StreamWriter, since: int | None) -> None:
        """Write what changed after a generation that this service knows, or else the whole list; then each change."""
        self.watches.add(writer)
        try:
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n")
            known = since is not None and self.first_generation <= since <= self.generation
            document: dict[str, Any] | None = self.document(since if known else None)
            first = True
            while True:
                sent = self.generation if document is None else document["generation"]
                line = b"\n" if document is None else json.dumps(document).encode() + b"\n"
                writer.write(b"%x\r\n%b\r\n" % (len(line), line))
                await writer.drain()
                if document is not None:
                    self.platform.written(self, document)
                    self.opened += first
                    first = False
                document = self.document(sent) if await self.has_news(sent, writer) else None
        except OSError:
            pass
        finally:
            self.watches.discard(writer)
            self.stopped.discard(writer)

    async def has_news(self, sent: int, writer: asyncio.StreamWriter) -> bool:
        """Wait for a change after a generation that a watch has to tell; returns False when a heartbeat is due."""
        async with self.changed:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(HEARTBEAT_S):
                    await self.changed.wait_for(lambda: self.generation > sent and writer not in self.stopped)
                    return True
        return False

    def stop_changes(self) -> None:
        """Stop the changes on the watches that are open; their heartbeats go on, and new calls are answered as ever."""
        self.stopped |= self.watches
        self.platform.record.line(f"discovery {self.label}: the open watches bring no more changes")

    def stop_accepting(self) -> None:
        """Accept no new connection."""
        if self.listener is not None:
            self.listener.close()

    def close_watches(self) -> None:
        """Close the watches that are open."""
        for writer in list(self.watches):
            writer.transport.abort()

    def stop(self) -> None:
        """End everything that this object has started."""
        self.stop_accepting()
        self.close_watches()


# --- Proxies, collectors and the channel ---

Arrival = tuple[float, list[dict[str, str]]]  # when a message reaches its proxy, and its parts


class Channel:
    """What is on its way from a planner to its proxies: messages leave it one after the other, at a rate in lines."""

    def __init__(self, lines_per_s: float, overhead: float, transit_s: float) -> None:
        self.lines_per_s = lines_per_s
        self.overhead = overhead
        self.transit_s = transit_s
        self.free_at = 0.0

    def carry(self, lines: int) -> float:
        """Take in a message of some lines, and return when it reaches its proxy, on the monotonic clock."""
        self.free_at = max(time.monotonic(), self.free_at) + (lines + self.overhead) / self.lines_per_s
        return self.free_at + self.transit_s


class Met:
    """What the proxies of a zone met at one server since the last report."""

    def __init__(self) -> None:
        self.count = 0
        self.fail = 0
        self.total_ms = 0.0
        self.inflight = 0


class Proxy:
    """A proxy: follows its tables, sends its clients' requests, and reports. It has a standing table at its start."""

    def __init__(self, fleet: Fleet, number: int, zone: str, rps: float) -> None:
        self.fleet = fleet
        self.number = number
        self.zone = zone
        self.rps = rps
        self.random = random.Random(number)
        listed = [server for server in fleet.platform.servers.values() if server.lifecycle == "in_service"]
        own = [server.name for server in listed if server.zone == zone]
        names = own if len(own) >= 3 else [server.name for server in listed]
        standing = self.random.sample(names, min(6, len(names)))
        self.tables: dict[str, dict[str, float]] = {name: dict.fromkeys(standing, 1.0) for name in CLASSES}
        self.new = True
        self.joined_at: float | None = None
        self.writer: asyncio.StreamWriter | None = None
        self.inflight: dict[str, int] = {}
        self.counts: dict[str, list[int]] = {name: [0, 0] for name in CLASSES}
        self.updates = 0

    async def follow(self) -> None:
        """Join the planner, and again after each break."""
        while True:
            with contextlib.suppress(OSError):
                await self.stream()
            if self.joined_at is not None:
                self.fleet.record.line(f"proxy {self.number}: stream ended")
            self.joined_at = None
            self.writer = None
            await asyncio.sleep(self.random.uniform(0.53, 2.4))

    async def stream(self) -> None:
        """Join, and follow the orders until the stream ends."""
        host, _, port = self.fleet.planner_address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port), limit=1 << 20)
        try:
            writer.write(
                f"SUBSCRIBE id={self.number} site={self.zone} rps={self.rps:g} new={int(self.new)}\r\n".encode()
            )
            self.writer = writer
            self.joined_at = self.fleet.record.now()
            self.fleet.record.line(f"proxy {self.number}: joined")
            parts: list[dict[str, str]] = []
            arrivals: asyncio.Queue[Arrival] = asyncio.Queue()
            apply_task = asyncio.create_task(self.apply_in_order(arrivals, writer))
            try:
                while line := await reader.readline():
                    kind, *pairs = line.decode().split()
                    if kind != "CONFIG":
                        raise OSError(f"unexpected {kind}")
                    parts.append(dict(pair.partition("=")[::2] for pair in pairs))
                    if parts[-1].get("continued") != "1":
                        arrivals.put_nowait((self.fleet.channel.carry(sum(map(line_count, parts))), parts))
                        parts = []
            finally:
                apply_task.cancel()
        finally:
            writer.transport.abort()

    async def apply_in_order(self, arrivals: asyncio.Queue[Arrival], writer: asyncio.StreamWriter) -> None:
        """Apply messages one after the other, as the channel brings them, and answer their marks."""
        while True:
            due_at, parts = await arrivals.get()
            await asyncio.sleep(due_at - time.monotonic())
            for part in parts:
                self.apply(part)
            self.updates += 1
            self.new = False
            for part in parts:
                if "nonce_out" in part:
                    writer.write(f"ACK id={self.number} seq={part['nonce_out']} ms=1.0\r\n".encode())

    def apply(self, part: dict[str, str]) -> None:
        """Apply one part of a message to the tables."""
        lines = dict(pair.rpartition(":")[::2] for pair in part.get("endpoints", "").split(",") if pair)
        for name in part["routes"].split("+") if "routes" in part else CLASSES:
            table = {} if part.get("full") == "1" else dict(self.tables[name])
            table |= {server: float(weight) for server, weight in lines.items()}
            self.tables[name] = {server: weight for server, weight in table.items() if weight > 0}
        self.fleet.record.line(f"proxy {self.number}: applied {part}")

    def pick(self, request_class: str) -> str | None:
        """Pick the server of two drawn by weight that has less of this proxy's own work."""
        table = self.tables[request_class]
        if not table:
            return None
        drawn = self.random.choices(list(table), list(table.values()), k=2)
        return min(drawn, key=lambda server: self.inflight.get(server, 0))

    async def send_requests(self) -> None:
        """Send the requests of this proxy's clients, at random times."""
        while True:
            await asyncio.sleep(self.random.expovariate(self.rps))
            task = asyncio.create_task(self.request(self.random.choices(CLASSES, [0.54, 0.26, 0.2][: len(CLASSES)])[0]))
            self.fleet.open_requests.add(task)
            task.add_done_callback(self.fleet.open_requests.discard)

    async def request(self, request_class: str) -> None:
        """Send one request by the tables, and count what came of it."""
        server = self.pick(request_class)
        self.counts[request_class][0] += 1
        if server is None:
            self.counts[request_class][1] += 1
            self.fleet.refused(self, request_class)
            return
        self.inflight[server] = self.inflight.get(server, 0) + 1
        sent_at = self.fleet.sent(self, server)
        served, load = await self.attempt(server)
        self.inflight[server] -= 1
        self.counts[request_class][1] += not served
        met = self.fleet.met.setdefault((self.zone, server), Met())
        met.count += 1
        met.fail += not served
        if served:
            met.total_ms += (self.fleet.record.now() - sent_at) * 1000.0
            met.inflight = load
        self.fleet.outcome(self, server, request_class, served)

    async def attempt(self, server: str) -> tuple[bool, int]:
        """Send a request to a server, and return whether it was answered, and the server's load report."""
        host, _, port = self.fleet.platform.servers[server].address.rpartition(":")
        writer: asyncio.StreamWriter | None = None
        try:
            async with asyncio.timeout(1.2):
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(b"request\n")
                answer = await reader.readline()
                return answer.startswith(b"ok"), int(answer.split()[1]) if answer.startswith(b"ok") else 0
        except (OSError, TimeoutError):
            return False, 0
        finally:
            if writer is not None:
                writer.transport.abort()

    async def report(self) -> None:
        """Report once a second what came to this proxy."""
        while True:
            await asyncio.sleep(1.0)
            counts, self.counts = self.counts, {name: [0, 0] for name in CLASSES}
            if self.writer is None:
                continue
            for name, (count, fail) in counts.items():
                if count:
                    self.writer.write(
                        f"RATE id={self.number} lane={name} count={count} fail={fail} over=1000.0\r\n".encode()
                    )


def line_count(part: dict[str, str]) -> int:
    """Return how many lines of the channel a part counts as."""
    lists = sum(
        len([item for item in part.get(key, "").split(",") if item]) for key in ("endpoints", "eject", "restore")
    )
    return lists + ("full" in part) + ("admit" in part) + ("nonce_out" in part)


class Fleet:
    """All stand-ins of a case, the planner, and what was seen."""

    def __init__(self, folder: Path, config_settings: dict[str, Any], generation: int = 41) -> None:
        self.record = Record(folder)
        self.settings = config_settings
        info = config_settings["family_info"]
        self.grace_s = config_settings["obligations"]["drain_grace"] / 1000.0
        self.channel = Channel(info["channel_rate"], info["overhead"], info["transit"] / 1000.0)
        self.platform = Platform(self.record)
        self.discovery = Discovery(self.platform, "A", generation)
        self.proxies: list[Proxy] = []
        self.met: dict[tuple[str, str], Met] = {}
        self.tasks: list[asyncio.Task[None]] = []
        self.open_requests: set[asyncio.Task[None]] = set()
        self.tmp = Path(tempfile.mkdtemp(prefix="stackwheel-review-"))
        self.planner_address = ""
        self.planner: subprocess.Popen[bytes] | None = None
        self.first_answer: float | None = None
        self.held_off_until = 0.0  # time limits hold off until then
        self.requests = 0
        self.failed = 0
        self.refusals: list[str] = []
        self.late: list[str] = []  # requests that were sent to a draining or removed server after the grace

    # What the proxies did

    def sent(self, proxy: Proxy, server: str) -> float:
        """Note a request on its way to a server, and judge it by the rule on drains; returns the time."""
        now = self.record.now()
        self.requests += 1
        told = self.platform.told_at(server)
        self.record.line(f"proxy {proxy.number}: request to {server}")
        if told is not None and proxy.joined_at is not None and self.first_answer is not None:
            start = max(told, proxy.joined_at, self.first_answer + 1.0, self.held_off_until)
            if now > start + self.grace_s + SLACK_S:
                state = self.platform.servers[server].lifecycle
                after = f"{now - told:.2f} s after the planner counts as told"
                text = f"proxy {proxy.number} sent to {server} ({state}) {after}"
                self.late.append(text)
                self.record.line(f"LATE {text}")
        return now

    def outcome(self, proxy: Proxy, server: str, request_class: str, served: bool) -> None:
        """Note what came of a request."""
        self.failed += not served
        self.record.line(f"proxy {proxy.number}: {request_class} at {server} {'answered' if served else 'FAILED'}")

    def refused(self, proxy: Proxy, request_class: str) -> None:
        """Note a request for which the proxy had no server to pick."""
        text = f"proxy {proxy.number}: {request_class} refused, no server to pick"
        self.refusals.append(text)
        self.record.line(text)

    # Start and end

    def config(self, discovery: str) -> dict[str, Any]:
        """Return the configuration of the planner."""
        known = {"generation": 0, "reset": True, "instances": []}
        return {"name": "n0", "listen": self.planner_address, "discovery": discovery, "seed": "8c1f30d27a5be964",
                "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "known": known,
                "settings": self.settings}  # fmt: skip

    def write_config(self, discovery: str) -> None:
        """Replace the configuration file as a whole."""
        partial = self.tmp / "config.json.new"
        partial.write_text(json.dumps(self.config(discovery)), encoding="utf-8")
        partial.replace(self.tmp / "config.json")

    async def start_planner(self) -> None:
        """Start the planner with the command of the deploy file, and wait until it answers.

        At its first start it gets a free port, and another one if something else has taken that port meanwhile.
        """
        attempts = 1 if self.planner_address else 5
        for _ in range(attempts):
            if attempts > 1:
                self.planner_address = f"{HOST}:{free_port()}"
            self.write_config(self.discovery.address)
            if await self.launch():
                self.first_answer = self.record.now()
                self.record.line("planner: answers")
                return
        raise CannotRunError("the planner does not answer; was it built?")

    async def launch(self) -> bool:
        """Start the planner's process, and return whether it answers within 30 s."""
        command = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text(encoding="utf-8"))["run"]
        scratch = self.tmp / "planner-tmp"
        scratch.mkdir(exist_ok=True)
        environment = {**os.environ, "ROUTER_CONFIG": str(self.tmp / "config.json"), "TMPDIR": str(scratch)}
        with (self.tmp / "planner.log").open("ab") as log:
            self.planner = subprocess.Popen(
                ["/bin/sh", "-c", command], cwd=ROOT, env=environment, stdin=subprocess.DEVNULL, stdout=log, stderr=log
            )
        deadline = time.monotonic() + 30.0
        while self.planner.poll() is None and time.monotonic() < deadline:
            await asyncio.sleep(0.1)
            if await self.ping() and self.planner.poll() is None:
                return True
        self.end_planner()
        return False

    def end_planner(self) -> bool:
        """End the planner's process at once; returns False if it has ended by itself."""
        if self.planner is None or self.planner.poll() is not None:
            return self.planner is None
        self.planner.kill()
        self.planner.wait()
        return True

    async def ping(self) -> bool:
        """Return whether the planner answers PING with PONG."""
        host, _, port = self.planner_address.rpartition(":")
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(host, int(port))
                try:
                    writer.write(b"PING\r\n")
                    return await reader.readline() == b"PONG\r\n"
                finally:
                    writer.transport.abort()
        except (OSError, TimeoutError):
            return False

    def signal_planner(self, number: int) -> None:
        """Send a signal to the planner."""
        assert self.planner is not None
        self.record.line(f"planner: sent {signal.Signals(number).name}")
        self.planner.send_signal(number)

    def start_proxies(self, count: int, rps: float) -> None:
        """Start proxies in all zones in turn, and a collector in each zone."""
        for number in range(count):
            proxy = Proxy(self, number, ZONES[number % len(ZONES)], rps)
            self.proxies.append(proxy)
            self.spawn(proxy.follow(), proxy.send_requests(), proxy.report())
        for zone in ZONES:
            self.spawn(self.collect(zone))

    def spawn(self, *jobs: Any) -> None:
        """Run jobs beside the case until it ends."""
        self.tasks += [asyncio.create_task(job) for job in jobs]

    async def collect(self, zone: str) -> None:
        """Report each second what the proxies of a zone met at each server."""
        host, _, port = self.planner_address.rpartition(":")
        while True:
            with contextlib.suppress(OSError):
                reader, writer = await asyncio.open_connection(host, int(port))
                try:
                    writer.write(f"SOURCE site={zone}\r\n".encode())
                    while not reader.at_eof():
                        await asyncio.sleep(1.0)
                        self.write_loads(zone, writer)
                finally:
                    writer.transport.abort()
            await asyncio.sleep(1.0)

    def write_loads(self, zone: str, writer: asyncio.StreamWriter) -> None:
        """Write the load reports of a zone."""
        for key in [key for key in self.met if key[0] == zone]:
            met = self.met.pop(key)
            mean = met.total_ms / max(1, met.count - met.fail)
            util = f" util=inflight:{met.inflight}" if met.count > met.fail else ""
            counts = f"count={met.count} fail={met.fail} mean={mean:.1f}"
            writer.write(f"LOAD site={zone} target={key[1]} {counts} over=1000.0{util}\r\n".encode())

    async def stop(self) -> None:
        """End everything that this object has started."""
        was_running = self.end_planner()  # first, so that no interruption leaves it behind
        tasks = [*self.tasks, *self.open_requests]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        self.platform.stop()
        with contextlib.suppress(OSError):
            self.record.file.write("--- log of the planner\n")
            self.record.file.write((self.tmp / "planner.log").read_text(encoding="utf-8", errors="replace"))
        self.record.close()
        shutil.rmtree(self.tmp, ignore_errors=True)
        if not was_running:
            raise CannotRunError("the planner has ended by itself, see the record")


def free_port() -> int:
    """Return a TCP port that is free now."""
    with socket.create_server((HOST, 0)) as probe:
        return int(probe.getsockname()[1])


def has_trouble() -> bool:
    """Return whether the case is played with its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


async def play_within(play: Callable[[bool], Awaitable[list[str]]], seconds: float) -> list[str]:
    """Play a case within a time; SIGTERM and SIGINT end it, and with it all that it has started."""
    loop = asyncio.get_running_loop()
    task = asyncio.ensure_future(play(has_trouble()))
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, task.cancel)
    return await asyncio.wait_for(task, seconds)


def main(play: Callable[[bool], Awaitable[list[str]]]) -> None:
    """Play a case within 115 s and print the breaks; exits with 1 if there are any, 0 if not, 2 if it couldn't run."""
    try:
        broken = asyncio.run(play_within(play, 115.0))
    except (Exception, asyncio.CancelledError) as error:
        print(f"could not run: {error!r}")
        sys.exit(2)
    for text in broken[:5]:
        print(text)
    print(f"the rule was broken {len(broken)} times" if broken else "the rule held")
    sys.exit(1 if broken else 0)
