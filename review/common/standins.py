"""Stand-ins for the review's cases: discovery, servers, proxies and collectors on loopback, and the planner's process.

They follow the protocol page and use only the standard library. The planner is the project's own program, started with
the command `run` of the deploy file. All stand-ins live in the process of the case's script.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import signal
import socket
import tempfile
import time
import tomllib
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any, TextIO

ROOT = Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
LIST_PATH = "/registry/instances"
HEARTBEAT_S = 2.0  # "An empty line comes every 2 s while nothing changes."
REPORT_S = 1.0  # family_info.cycle of the example configuration
REPORT_DELAY_S = 0.5  # sums come 320 to 1,400 ms late
REDIAL_S = 0.6  # a proxy dials again 0.53 to 2.4 s after a break
READY_TIMEOUT_S = 30.0
WORK_S = 0.04  # work of one request at a warm server
MAX_WAIT_S = 0.8  # a request that would wait longer is turned away
TRY_S = 1.0  # a proxy waits so long for an answer
AVOID_S = 5.0  # a proxy keeps away for 3.5 to 7.4 s from a server where too many of its tries in a row failed
EXIT_HELD = 0
EXIT_BROKEN = 1
EXIT_COULD_NOT_RUN = 2


class CaseError(Exception):
    """The case could not run, so that it says nothing about the rule."""


class Record:
    """Writes what happens to `record.txt`, each line with the seconds since the start of the case."""

    def __init__(self, path: Path) -> None:
        self.file: TextIO = path.open("w")
        self.started_at = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the start of the case."""
        return time.monotonic() - self.started_at

    def write(self, text: str) -> None:
        """Write one line, also to standard output."""
        line = f"{self.now():8.3f} {text}"
        print(line, file=self.file, flush=True)
        print(line, flush=True)

    def quietly(self, text: str) -> None:
        """Write one line to the file alone."""
        print(f"{self.now():8.3f} {text}", file=self.file, flush=True)


def free_port(kind: int = socket.SOCK_STREAM) -> int:
    """Return a loopback port that nobody uses now."""
    with socket.socket(socket.AF_INET, kind) as sock:
        sock.bind((HOST, 0))
        return int(sock.getsockname()[1])


def chunk(line: bytes) -> bytes:
    """Encode a line as one chunk of a response."""
    return b"%x\r\n%b\r\n" % (len(line), line)


class Fleet:
    """The servers as discovery knows them, whatever address it is asked at.

    Attributes:
        entries: listed servers by name, in discovery's form.
        listeners: called with each change.
    """

    def __init__(self) -> None:
        self.entries: dict[str, dict[str, Any]] = {}
        self.listeners: list[Callable[[list[dict[str, Any]]], None]] = []

    def add(self, name: str, address: str, zone: str, started_at_ms: int = 0) -> None:
        """Add a server that is in service."""
        self._change(
            {
                "instanceId": name,
                "hostPort": address,
                "zone": zone,
                "machineType": "small",
                "cell": 0,
                "lifecycle": "in_service",
                "weight": 1.0,
                "startedAtMs": started_at_ms,
            }
        )

    def set_lifecycle(self, name: str, lifecycle: str) -> None:
        """Change the lifecycle of a server; one that is terminated leaves the list."""
        self._change({**self.entries[name], "lifecycle": lifecycle})

    def _change(self, entry: dict[str, Any]) -> None:
        self.entries[entry["instanceId"]] = entry
        if entry["lifecycle"] == "terminated":
            del self.entries[entry["instanceId"]]
        for listener in self.listeners:
            listener([entry])


class Discovery:
    """Discovery at one address, with its own numbering of the list.

    Attributes:
        name: name in the record.
        fleet: the servers.
        generation: version of the list.
        answer_delay_s: time that a call waits until it is answered.
        changes: pairs of generation and entry since the start of the numbering.
        told: time at which an entry of a server was first written to the planner, by name and lifecycle.
        contacts: number of calls that are open now.
        last_contact_at: time at which the planner last called or had a watch open.
        calls: number of calls so far.
    """

    def __init__(self, record: Record, name: str, fleet: Fleet, generation: int = 1) -> None:
        self.record = record
        self.name = name
        self.fleet = fleet
        self.generation = generation
        self.first_generation = generation
        self.answer_delay_s = 0.0
        self.changes: list[tuple[int, dict[str, Any]]] = []
        self.told: dict[tuple[str, str], float] = {}
        self.contacts = 0
        self.last_contact_at = 0.0
        self.calls = 0
        self.address = ""
        self.changed = asyncio.Condition()
        self.notifications: set[asyncio.Task[None]] = set()
        self.writers: set[asyncio.StreamWriter] = set()
        fleet.listeners.append(self.on_change)

    async def start(self) -> None:
        """Listen on a free port."""
        self.server = await asyncio.start_server(self.serve, HOST, 0)
        self.address = f"{HOST}:{self.server.sockets[0].getsockname()[1]}"
        self.record.write(f"{self.name} listens on {self.address}, generation {self.generation}")

    async def retire(self, close_after_s: float) -> None:
        """Accept no new connection, and close those still open after some time."""
        self.server.close()
        self.record.write(f"{self.name} accepts no new connection")
        await asyncio.sleep(close_after_s)
        for writer in list(self.writers):
            writer.transport.abort()
        self.record.write(f"{self.name} closed the connections still open")

    def on_change(self, entries: list[dict[str, Any]]) -> None:
        """Number a change, and wake the watches."""
        self.generation += 1
        self.changes += [(self.generation, entry) for entry in entries]
        with contextlib.suppress(RuntimeError):  # before the event loop runs nobody waits
            task = asyncio.get_running_loop().create_task(self.notify())
            self.notifications.add(task)
            task.add_done_callback(self.notifications.discard)

    async def notify(self) -> None:
        """Wake all watches."""
        async with self.changed:
            self.changed.notify_all()

    def document(self, since: int | None) -> tuple[bytes, list[dict[str, Any]]]:
        """Return the whole list, or what changed after a generation, encoded and as entries."""
        if since is None:
            entries = list(self.fleet.entries.values())
        else:
            latest = {entry["instanceId"]: entry for generation, entry in self.changes if generation > since}
            entries = list(latest.values())
        body = {"generation": self.generation, "reset": since is None, "instances": entries}
        return json.dumps(body).encode() + b"\n", entries

    async def write_list(self, writer: asyncio.StreamWriter, since: int | None) -> int:
        """Write the list or its changes as a chunk; return the generation that was written."""
        line, entries = self.document(since)
        generation = self.generation
        writer.write(chunk(line))
        await writer.drain()
        for entry in entries:
            self.told.setdefault((entry["instanceId"], entry["lifecycle"]), self.record.now())
        kind = "whole list" if since is None else f"changes since {since}"
        states = ",".join(f"{entry['instanceId']}:{entry['lifecycle']}" for entry in entries)
        self.record.quietly(f"{self.name} wrote generation {generation} ({kind}): {states}")
        return generation

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer one call."""
        self.writers.add(writer)
        self.contacts += 1
        self.calls += 1
        try:
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
            target = head.split(" ")[1]
            self.record.write(f"{self.name} was asked: GET {target}")
            await asyncio.sleep(self.answer_delay_s)
            if "follow=1" in target:
                await self.watch(reader, writer, target)
            elif target == LIST_PATH:
                body, _ = self.document(None)
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):  # the latter at the end of the case
            pass
        finally:
            self.contacts -= 1
            self.last_contact_at = self.record.now()
            self.writers.discard(writer)
            writer.close()

    async def watch(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, target: str) -> None:
        """Write the first answer, then each change, and an empty line after 2 s without one."""
        since = int(target.partition("since=")[2] or 0)
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n")
        is_numbered = self.first_generation <= since <= self.generation
        written = await self.write_list(writer, since if is_numbered else None)
        end = asyncio.ensure_future(reader.read())  # ends when the planner closes the watch
        try:
            while not end.done():
                if await self.wait_for_change(written):
                    written = await self.write_list(writer, written)
                else:
                    writer.write(chunk(b"\n"))
                    await writer.drain()
        finally:
            end.cancel()
            self.record.write(f"{self.name}: a watch has ended")

    async def wait_for_change(self, written: int) -> bool:
        """Return whether the list changed within the heartbeat interval."""
        async with self.changed:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.changed.wait_for(lambda: self.generation > written), HEARTBEAT_S)
        return self.generation > written


class Server:
    """A server with one core: answers requests and probes, and notes when a proxy sent it a request.

    Attributes:
        requests: pairs of time and proxy number.
        started_at: time of the start of a server that starts cold; None for one that started long ago.
        cold_share: share of its capacity at its start.
        cold_s: time until it is warm; its capacity rises evenly.
        busy_s: work done in the present report interval.
        util: share of the last report interval in which the core was busy.
    """

    def __init__(self, record: Record, name: str, zone: str) -> None:
        self.record = record
        self.name = name
        self.zone = zone
        self.address = ""
        self.requests: list[tuple[float, int]] = []
        self.in_flight = 0
        self.started_at: float | None = None
        self.cold_share = 1.0
        self.cold_s = 0.0
        self.core_free_at = 0.0
        self.busy_s = 0.0
        self.util = 0.0

    def present_share(self, at: float) -> float:
        """Return the share of its full capacity that the server has at a time."""
        if self.started_at is None or self.cold_s <= 0:
            return 1.0
        progress = min(1.0, max(0.0, (at - self.started_at) / self.cold_s))
        return self.cold_share + (1.0 - self.cold_share) * progress

    def capacity(self, at: float) -> float:
        """Return the requests per second that the server can do at a time."""
        return self.present_share(at) / WORK_S

    async def measure(self) -> None:
        """Measure the use of the core in each report interval."""
        while True:
            await asyncio.sleep(REPORT_S)
            self.util = min(1.0, self.busy_s / REPORT_S)
            self.busy_s = 0.0

    async def work(self) -> bool:
        """Do one request after those that wait; return False if too many wait, so that it is turned away."""
        now = self.record.now()
        begin = max(now, self.core_free_at)
        if begin - now > MAX_WAIT_S:
            return False
        duration = WORK_S / self.present_share(now)
        self.core_free_at = begin + duration
        self.in_flight += 1
        await asyncio.sleep(self.core_free_at - now)
        self.in_flight -= 1
        self.busy_s += duration
        return True

    async def start(self) -> None:
        """Listen on a free port."""
        self.server = await asyncio.start_server(self.serve, HOST, 0)
        self.address = f"{HOST}:{self.server.sockets[0].getsockname()[1]}"

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer the requests of one connection."""
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                is_done = True
                if not head.startswith("GET "):
                    number = int(head.partition("X-Proxy: ")[2].split("\r\n")[0])
                    self.requests.append((self.record.now(), number))
                    is_done = await self.work()
                    request = head.partition("X-Request: ")[2].split("\r\n")[0]
                    self.record.quietly(f"{self.name} {'ran' if is_done else 'turned away'} request {request}")
                body = b"inflight=%d,util=%.3f" % (self.in_flight, self.util)
                status = b"200 OK" if is_done else b"503 Service Unavailable"
                writer.write(b"HTTP/1.1 %b\r\nContent-Length: %d\r\n\r\n" % (status, len(body)) + body)
                await writer.drain()
        except (OSError, ValueError, asyncio.IncompleteReadError, asyncio.CancelledError):  # the latter at the end
            pass
        finally:
            writer.close()


class Tables:
    """The tables of a proxy by class, as the orders on its stream change them."""

    def __init__(self, classes: list[str], standing: list[str]) -> None:
        self.lines: dict[str, dict[str, float]] = {name: dict.fromkeys(standing, 1.0) for name in classes}

    def apply(self, message: list[str]) -> str | None:
        """Apply all parts of one message; return the mark that is to be answered, if any."""
        mark = None
        for part in message:
            fields = dict(word.partition("=")[::2] for word in part.split(" ")[1:])
            for name in fields["routes"].split("+") if "routes" in fields else list(self.lines):
                if fields.get("full") == "1":
                    self.lines[name] = {}
                for item in fields.get("endpoints", "").split(",") if fields.get("endpoints") else []:
                    server, _, weight = item.rpartition(":")
                    self.lines[name][server] = float(weight)
                self.lines[name] = {server: weight for server, weight in self.lines[name].items() if weight > 0}
            mark = fields.get("nonce_out", mark)
        return mark


class Proxy:
    """A proxy: joins the planner, follows its tables, sends requests to the servers and reports its usage.

    Attributes:
        joined_at: time at which the present stream joined; None while there is none.
        messages: times at which messages of the planner were complete.
    """

    def __init__(self, record: Record, number: int, zone: str, case: Deployment) -> None:
        self.record = record
        self.number = number
        self.zone = zone
        self.case = case
        standing = [name for name, server in case.servers.items() if server.zone == zone][:6]
        self.tables = Tables(case.classes, standing)
        self.random = random.Random(number)
        self.joined_at: float | None = None
        self.messages: list[float] = []
        self.requests = 0
        self.in_flight: dict[str, int] = {}
        self.strikes: dict[str, int] = {}
        self.avoided_until: dict[str, float] = {}
        self.credit: dict[str, dict[str, float]] = {name: {} for name in case.classes}
        self.is_new = True
        self.counts = dict.fromkeys(case.classes, 0)
        self.failures = dict.fromkeys(case.classes, 0)
        self.writer: asyncio.StreamWriter | None = None
        self.connections: dict[str, tuple[asyncio.StreamReader, asyncio.StreamWriter]] = {}

    async def run(self) -> None:
        """Join, follow the orders until the stream breaks, and dial again."""
        while True:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                await self.follow()
            if self.joined_at is not None:
                self.record.write(f"proxy {self.number}: its stream has ended")
            self.joined_at = None
            self.writer = None
            await asyncio.sleep(REDIAL_S)

    async def follow(self) -> None:
        """Join and follow the orders of one stream."""
        host, _, port = self.case.listen.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        self.writer = writer
        rate = self.case.rate * len(self.case.classes)
        writer.write(f"SUBSCRIBE id={self.number} site={self.zone} rps={rate} new={int(self.is_new)}\r\n".encode())
        self.joined_at = self.record.now()
        self.record.quietly(f"proxy {self.number} sent SUBSCRIBE new={int(self.is_new)}")
        message: list[str] = []
        try:
            while True:
                line = (await reader.readuntil(b"\r\n")).decode().rstrip("\r\n")
                message.append(line)
                if " continued=1" in line:
                    continue
                self.messages.append(self.record.now())
                self.is_new = False
                mark = self.tables.apply(message)
                self.record.quietly(f"proxy {self.number} applied {' | '.join(message)}")
                message = []
                if mark is not None:
                    writer.write(f"ACK id={self.number} seq={mark} ms=2.0\r\n".encode())
        finally:
            writer.transport.abort()

    async def send_requests(self, name: str) -> None:
        """Send requests of one class at a steady rate."""
        tasks: set[asyncio.Task[None]] = set()
        while True:
            await asyncio.sleep(self.random.uniform(0.5, 1.5) / self.case.rate)
            self.counts[name] += 1
            server = self.choose(name)
            if server is None:
                self.failures[name] += 1
                continue
            self.in_flight[server] = self.in_flight.get(server, 0) + 1
            task = asyncio.create_task(self.send_request(name, server))
            tasks.add(task)
            task.add_done_callback(tasks.discard)

    def choose(self, name: str) -> str | None:
        """Choose a server as `family_info.lb_method` says, of those that are not avoided, if there are any."""
        lines = self.tables.lines[name]
        now = self.record.now()
        usable = [server for server in lines if self.avoided_until.get(server, 0.0) <= now] or list(lines)
        if not usable:
            return None
        method = self.case.settings["family_info"]["lb_method"]
        if method == "round":
            return self.choose_in_turn(name, {server: lines[server] for server in usable})
        first = self.random.choices(usable, [lines[server] for server in usable])[0]
        others = [server for server in usable if server != first]
        if method != "two" or not others:
            return first
        second = self.random.choices(others, [lines[server] for server in others])[0]
        return second if self.in_flight.get(second, 0) < self.in_flight.get(first, 0) else first

    def choose_in_turn(self, name: str, lines: dict[str, float]) -> str:
        """Choose evenly by weight: each server's credit grows by its weight, and the highest credit is next."""
        credit = {server: self.credit[name].get(server, 0.0) + weight for server, weight in lines.items()}
        chosen = max(credit, key=credit.__getitem__)
        credit[chosen] -= sum(lines.values())
        self.credit[name] = credit
        return chosen

    def note(self, server: str, is_answered: bool) -> None:
        """Count failures in a row at a server, and avoid it for a while after `family_info.strikes` of them."""
        self.in_flight[server] -= 1
        self.strikes[server] = 0 if is_answered else self.strikes.get(server, 0) + 1
        limit = self.case.settings["family_info"]["strikes"]
        if limit and self.strikes[server] >= limit:
            self.strikes[server] = 0
            self.avoided_until[server] = self.record.now() + AVOID_S

    async def send_request(self, name: str, server: str) -> None:
        """Send one request on a connection of its own, and note how it went."""
        started_at = self.record.now()
        self.requests += 1
        request = f"{self.number}.{self.requests}"
        self.record.quietly(f"proxy {self.number} sent request {request} ({name}) to {server}")
        writer = None
        answer = "no answer"
        try:
            host, _, port = self.case.servers[server].address.rpartition(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            head = f"POST /{name} HTTP/1.1\r\nX-Proxy: {self.number}\r\nX-Request: {request}\r\n\r\n"
            writer.write(head.encode())
            answer = (await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), TRY_S)).split(b" ")[1].decode()
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            pass
        finally:
            if writer is not None:
                writer.close()
        is_answered = answer == "200"
        self.record.quietly(f"proxy {self.number} request {request}: {answer}")
        self.failures[name] += not is_answered
        self.note(server, is_answered)
        self.case.met(self.zone, server, is_answered, self.record.now() - started_at)

    async def report(self) -> None:
        """Report the requests of each interval over the stream."""
        while True:
            await asyncio.sleep(REPORT_S)
            lines = [
                f"RATE id={self.number} lane={name} count={count} fail={self.failures[name]} over=1000.0\r\n"
                for name, count in self.counts.items()
                if count
            ]
            self.counts = dict.fromkeys(self.counts, 0)
            self.failures = dict.fromkeys(self.failures, 0)
            if self.writer is not None and self.joined_at is not None:
                self.writer.write("".join(lines).encode())
                self.record.quietly(f"proxy {self.number} reported {' | '.join(line.strip() for line in lines)}")


class Deployment:
    """The planner's process and all stand-ins around it, with the settings of the example configuration.

    Attributes:
        servers: servers by name.
        proxies: proxies by number.
        listen: the planner's address.
        rate: requests per second of each proxy and class.
        spoilt_target: server whose next report arrives spoilt; empty for none.
        spoilt_count: value of the field `count` in that report.
    """

    def __init__(self, record: Record, folder: Path, rate: float = 10.0) -> None:
        self.record = record
        self.folder = folder
        self.rate = rate
        self.document: dict[str, Any] = json.loads((ROOT / "examples" / "config.json").read_text())
        self.listen = f"{HOST}:{free_port()}"
        peer = f"{HOST}:{free_port(socket.SOCK_DGRAM)}"
        self.document.update(listen=self.listen, peer_listen=peer, peers=[peer], peers_all=peer)
        self.settings: dict[str, Any] = self.document["settings"]
        self.zones: list[str] = self.settings["zones"]
        self.classes: list[str] = [item["name"] for item in self.settings["services"]]
        self.fleet = Fleet()
        self.servers: dict[str, Server] = {}
        self.proxies: dict[int, Proxy] = {}
        self.sums: dict[tuple[str, str], list[float]] = {}
        self.spoilt_target = ""
        self.spoilt_count = ""
        self.tasks: list[asyncio.Task[None]] = []
        self.process: asyncio.subprocess.Process | None = None
        self.config_path = Path(tempfile.mkdtemp(prefix="review-")) / "config.json"

    def start_task(self, work: Coroutine[Any, Any, None]) -> None:
        """Run a part of a stand-in in the background."""
        self.tasks.append(asyncio.create_task(work))

    async def add_server(self, name: str, zone: str, is_cold: bool = False) -> None:
        """Start a server and list it."""
        server = Server(self.record, name, zone)
        if is_cold:
            server.started_at = self.record.now()
            server.cold_share = self.settings["obligations"]["cold_share"]
            server.cold_s = self.settings["obligations"]["cold"] / 1000.0
        await server.start()
        self.start_task(server.measure())
        self.servers[name] = server
        self.fleet.add(name, server.address, zone, int(time.time() * 1000) if is_cold else 0)

    def write_config(self, discovery: str) -> None:
        """Replace the configuration file."""
        self.document["discovery"] = discovery
        new = self.config_path.with_suffix(".new")
        new.write_text(json.dumps(self.document))
        new.replace(self.config_path)

    async def start_planner(self, discovery: Discovery) -> None:
        """Start the planner with the deploy file's command, and wait until it answers PING."""
        self.document["known"] = {
            "generation": discovery.generation,
            "reset": True,
            "instances": list(self.fleet.entries.values()),
        }
        self.write_config(discovery.address)
        command = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        log = (self.folder / "planner.log").open("w")
        self.process = await asyncio.create_subprocess_exec(
            "/bin/sh",
            "-c",
            command,
            cwd=ROOT,
            stdout=log,
            stderr=log,
            env={**os.environ, "ROUTER_CONFIG": str(self.config_path)},
            start_new_session=True,
        )
        await asyncio.wait_for(self.wait_ready(), READY_TIMEOUT_S)
        self.record.write(f"planner is ready, process {self.process.pid}")

    async def wait_ready(self) -> None:
        """Wait until the planner answers PING."""
        host, _, port = self.listen.rpartition(":")
        while True:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(b"PING\r\n")
                answer = await reader.readuntil(b"\r\n")
                writer.close()
                if answer == b"PONG\r\n":
                    return
            self.check_planner()
            await asyncio.sleep(0.05)

    def check_planner(self) -> None:
        """Raise CaseError if the planner has ended."""
        if self.process is None or self.process.returncode is not None:
            raise CaseError("the planner has ended")

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the planner."""
        self.check_planner()
        assert self.process is not None
        os.kill(self.process.pid, number)
        self.record.write(f"{number.name} sent to the planner, discovery is now {self.document['discovery']}")

    async def start_clients(self, count: int) -> None:
        """Start proxies, by turns in each zone, and a collector for each zone."""
        for number in range(count):
            proxy = Proxy(self.record, number, self.zones[number % len(self.zones)], self)
            self.proxies[number] = proxy
            self.start_task(proxy.run())
            self.start_task(proxy.report())
            for name in self.classes:
                self.start_task(proxy.send_requests(name))
        for zone in self.zones:
            self.start_task(self.collect(zone))

    def met(self, zone: str, server: str, is_answered: bool, duration_s: float) -> None:
        """Add one try to the sums of a zone's collector: tries, failures and time of the rest."""
        sums = self.sums.setdefault((zone, server), [0.0, 0.0, 0.0])
        sums[0] += 1
        sums[1] += not is_answered
        sums[2] += duration_s * 1000.0 if is_answered else 0.0

    async def collect(self, zone: str) -> None:
        """Pass a zone's sums on to the planner each second, late."""
        host, _, port = self.listen.rpartition(":")
        while True:
            with contextlib.suppress(OSError):
                _, writer = await asyncio.open_connection(host, int(port))
                writer.write(f"SOURCE site={zone}\r\n".encode())
                while not writer.is_closing():
                    await asyncio.sleep(REPORT_S)
                    lines = self.take_sums(zone)
                    await asyncio.sleep(REPORT_DELAY_S)
                    writer.write("".join(lines).encode())
                    await writer.drain()
            await asyncio.sleep(REDIAL_S)

    def take_sums(self, zone: str) -> list[str]:
        """Return the LOAD lines of a zone, and start the next sums."""
        lines = []
        for key in [key for key in self.sums if key[0] == zone]:
            tries, failures, total_ms = self.sums.pop(key)
            mean = total_ms / max(1.0, tries - failures)
            server = self.servers[key[1]]
            count = f"{tries:.0f}"
            if key[1] == self.spoilt_target:
                self.spoilt_target = ""
                count = self.spoilt_count
            line = (
                f"LOAD site={zone} target={key[1]} count={count} fail={failures:.0f} mean={mean:.1f} "
                f"over=1000.0 util=inflight:{server.in_flight},util:{server.util:.3f}"
            )
            lines.append(line + "\r\n")
            self.record.quietly(f"collector {zone}: {line}")
        return lines

    async def stop(self) -> None:
        """End all that the case started, and say how the planner ended."""
        for task in self.tasks:
            task.cancel()
        if self.process is not None:
            if self.process.returncode is None:
                os.kill(self.process.pid, signal.SIGTERM)
                try:
                    await asyncio.wait_for(self.process.wait(), 3.0)
                except TimeoutError:
                    self.process.kill()
                    await self.process.wait()
            self.record.write(f"process {self.process.pid} has ended with {self.process.returncode}")
        for path in self.config_path.parent.iterdir():
            path.unlink()
        self.config_path.parent.rmdir()

    def is_planner_running(self) -> bool:
        """Return whether the planner has not ended."""
        return self.process is not None and self.process.returncode is None

    def late_requests(self, server: str, after: float) -> list[tuple[float, int]]:
        """Return the requests that joined proxies sent to a server after a time."""
        return [
            (at, number)
            for at, number in self.servers[server].requests
            if at > after and (joined_at := self.proxies[number].joined_at) is not None and joined_at < after
        ]


async def wait_until(record: Record, at: float) -> None:
    """Wait until so many seconds after the start of the case."""
    await asyncio.sleep(max(0.0, at - record.now()))


def run_case(
    folder: Path, play: Callable[[Deployment, bool], Coroutine[Any, Any, bool]], limit_s: float = 110.0
) -> int:
    """Play a case; return 1 if the rule was broken, 0 if it held and 2 if the case could not run."""
    try:
        record = Record(folder / "record.txt")
        return asyncio.run(play_recorded(record, folder, play, limit_s))
    except Exception as error:  # whatever goes wrong in the script says nothing about the rule
        print(f"the case could not run: {error!r}", flush=True)
        return EXIT_COULD_NOT_RUN


async def play_recorded(
    record: Record, folder: Path, play: Callable[[Deployment, bool], Coroutine[Any, Any, bool]], limit_s: float
) -> int:
    """Play a case and end all that it started, also when the script itself is told to end."""
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record.write(f"case {folder.name}, {'with' if has_trouble else 'without'} the disruption")
    task = asyncio.current_task()
    assert task is not None
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        asyncio.get_running_loop().add_signal_handler(number, task.cancel)
    deployment = None
    try:
        deployment = Deployment(record, folder)
        held = await asyncio.wait_for(play(deployment, has_trouble), limit_s)
    except (Exception, asyncio.CancelledError) as error:
        record.write(f"the case could not run: {error!r}")
        return EXIT_COULD_NOT_RUN
    finally:
        if deployment is not None:
            await deployment.stop()
    record.write("the rule held" if held else "the rule was BROKEN")
    return EXIT_HELD if held else EXIT_BROKEN
