"""A planner of a trial: the shipped service, from configuration to accept to write, on the virtual loop."""

from __future__ import annotations

import signal
import socket
from collections.abc import Iterator, Mapping
from functools import partial
from typing import TYPE_CHECKING, Any, cast

from stackwheel.files.publisher import FilePublisher
from stackwheel.service.app import ProcessEnvironment, Service, no_transports
from stackwheel.service.config import Config, ConfigError, read_config
from stackwheel.trials.loop import Machine
from stackwheel.trials.network import Address
from stackwheel.wire.connection import Connection

if TYPE_CHECKING:
    from stackwheel.trials.world import World

EPOCH = 1_800_000_000.0  # s: the wall clock at the start of every trial


def settings_document(world: World, number: int) -> dict[str, Any]:
    """The settings as the platform hands them to an instance."""
    shape = world.shape
    return {
        "me": number,
        "instances": shape.planners,
        "zone": number % shape.zones,
        "zones": list(world.zones),
        "kinds": ["kind-0", "kind-1"],
        "tick": 2.0,
        "weight_kind": "off",
        "discovery": "on_request" if shape.on_request else "pushed",
        "load_report": {
            "columns": ["inflight"] if shape.reports else [],
            "source": "inline" if shape.reports else "off",
        },
        "bounds": {"peers": shape.peers, "probes": shape.probes},
        "deductions": {"cross_zone": 0.1},
        "services": [
            {
                "name": c.name,
                "target": c.aim,
                "deadline": c.deadline,
                "worth": c.worth,
                "effect": c.effect,
                "group": c.group,
                "key_ttl": c.key_window,
            }
            for c in shape.classes
        ],
        "family_info": {
            "agents": shape.proxies,
            "backlog": shape.backlog,
            "channel_rate": shape.channel_rate,
            "cycle": shape.cycle,
            "exclusive": False,
            "key_ranges": 0,
            "lb_method": shape.pick,
            "level_kind": shape.admission,
            "messages_over": 10000.0,
            "overhead": shape.overhead,
            "strikes": shape.strikes,
            "transit": shape.transit,
            "try_factor": 0.8,
            "unserved_max": shape.unserved_max,
            "update_cap": shape.cap,
            "usual_how": shape.usual_retry,
            "zone_bound": [c.zone_bound for c in shape.classes],
        },
        "obligations": {
            "ask_within": shape.ask_within,
            "cold": shape.cold,
            "cold_share": shape.cold_share,
            "drain_grace": shape.drain_grace,
            "fall_multiple": shape.fall_multiple,
            "only_draining_binds": shape.only_draining_binds,
            "overload_for": shape.overload_for,
        },
    }


class PlannerHost:
    """The machine a planner runs on: start, kill, reload, and what can be seen of it from outside."""

    def __init__(self, world: World, number: int) -> None:
        self.world, self.number = world, number
        self.host = f"10.0.0.{number + 1}"
        self.address: Address = (self.host, 8081)
        self.machine = Machine(f"planner-{number}")
        self.service: Service | None = None
        self.publisher: FilePublisher | None = None
        self.lives = 0
        self.discovery = world.discovery_of(number)

    @property
    def running(self) -> bool:
        return self.machine.alive and self.service is not None

    def document(self) -> dict[str, Any]:
        world = self.world
        peers = [f"10.0.0.{n + 1}:7946" for n in range(world.shape.planners)]
        return {
            "name": f"planner-{self.number}",
            "listen": f"{self.host}:8081",
            "discovery": self.discovery,
            "seed": f"{self.world.script.seed * 1000 + self.lives * 16 + self.number:x}",
            "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 1024},
            "peer_listen": f"{self.host}:7946",
            "peers": peers,
            "peers_all": "10.3.255.1:7946",
            "known": world.discovery.document(tuple(world.records().values()), True, world.discovery.generation),
            "settings": settings_document(world, self.number),
        }

    def load(self) -> Config | ConfigError:
        try:
            return read_config(self.document())
        except (ValueError, KeyError, TypeError) as error:
            return ConfigError(str(error))

    def start(self) -> None:
        """A new process: it knows the list as it is now and nothing else."""
        world, old = self.world, self.machine
        if not old.alive:
            self.machine = Machine(old.name)
            world.graves.append(old)
        world.network.settle(self.host, self.machine)
        world.network.return_of(old)
        self.lives += 1
        self.discovery = world.discovery_of(self.number)
        config = self.load()
        assert not isinstance(config, ConfigError), config.reason
        loop = world.loop
        exchange = world.exchange
        around = ProcessEnvironment(
            transports=partial(exchange.extras, self) if exchange is not None else no_transports,
            wall_clock=lambda: EPOCH + loop.now,
            steady_clock=lambda: loop.now,
            load_config=self.load,
            listen_at=lambda address: cast(socket.socket, world.network.listen(self.machine, self.address)),
            unblock_signals=lambda: world.planner_up(self),
        )
        previous, loop.machine = loop.machine, self.machine
        try:
            self.service = Service(config, around)
        finally:
            loop.machine = previous
        loop.start(self.machine, self.service.run())

    def kill(self, sign: bool = True) -> None:
        if not self.machine.alive:
            return
        self.world.planner_down(self)
        self.world.network.kill(self.machine, sign)
        self.service = None

    def reload(self) -> None:
        """The configuration names where discovery is now; SIGHUP says so."""
        self.discovery = self.world.discovery_of(self.number)
        self.world.loop.signal(self.machine, signal.SIGHUP)

    # what can be seen

    def believed(
        self, proxy: int
    ) -> tuple[Mapping[int, Mapping[str, float]], Mapping[int, tuple[float, int] | None], Mapping[str, bool]] | None:
        """By class the lines and the level that it believes a proxy to hold, and what it has ejected there;
        None while something it sent is unanswered, or there is no stream."""
        assert self.service is not None
        module, ids = self.service.planner, self.service.endpoints.server_ids
        stream = module.streams.by_proxy.get(proxy)
        if stream is None:
            return None
        lines: dict[int, dict[str, float]] = {}
        levels: dict[int, tuple[float, int] | None] = {}
        for place, table in stream.table_by_class.items():
            lines[place] = {
                name: weight
                for server, weight in module.tables.tables.get(table, {}).items()
                if (name := ids.name(server)) is not None
            }
            level = module.tables.level(place, table)
            levels[place] = None if level is None else (level[0], int(level[1]))
        ejected = {name: out for server, out in stream.ejected.items() if (name := ids.name(server)) is not None}
        return lines, levels, ejected

    def last_mark(self, proxy: int) -> int | None:
        """The newest mark that it has sent a proxy and heard no answer to."""
        assert self.service is not None
        stream = self.service.planner.streams.by_proxy.get(proxy)
        return next(reversed(stream.pending_nonces), None) if stream is not None else None

    def unsent(self, proxy: int) -> int:
        """Bytes for a proxy that still wait in the planner."""
        assert self.service is not None
        stream = self.service.planner.streams.by_proxy.get(proxy)
        return stream.connection.unsent_bytes if stream is not None and isinstance(stream.connection, Connection) else 0

    def figures(self) -> Iterator[tuple[str, float, float]]:
        """What it keeps for others, and the most there may be of it."""
        assert self.service is not None
        links, module, roster = self.service.transport, self.service.planner, self.service.endpoints
        table = links.connection_table
        proxies = self.world.shape.proxies
        yield "streams", len(module.streams.by_proxy) + len(module.streams.silent), proxies
        yield "limiters", len(links.limiters), proxies
        yield "bytes that wait", links.buffer_budget.total_bytes, links.buffer_budget.max_bytes
        yield (
            "bytes that wait, beside their sum",
            abs(links.buffer_budget.total_bytes - sum(links.buffer_budget.bytes_by_connection.values())),
            0,
        )
        yield (
            "peers that hold bytes, not attended",
            sum(p not in table.connections for p in links.buffer_budget.bytes_by_connection),
            0,
        )
        yield "unidentified not attended", sum(p not in table.connections for p in table.unidentified), 0
        yield "connections", len(table.connections) + table.arriving, 1024
        yield "tasks", len(links.supervisor.tasks), 8 + 2 * len(table.connections) + 4 * self.world.shape.servers
        yield "calls for the list", len(links.discovery.fetch_tasks), 16
        yield "gone servers", len(roster.removed), 64 + 3 * len(roster.entries) + 8
        yield "names", len(roster.server_ids.names), len(roster.entries) + len(roster.removed) + 8
        yield "mailbox", len(module.mailbox), 20_000
        yield "timers", len(module.timers), 256
        for stream in module.streams.by_proxy.values():
            yield f"marks of proxy {stream.proxy}", len(stream.pending_nonces), 64
