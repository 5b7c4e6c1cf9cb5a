"""What a customer's settings name, and in which order, decides nothing: the same script gets the same orders."""

from __future__ import annotations

import copy
import json
import re
from collections.abc import Sequence
from typing import Any

import pytest
from fake_services import ROOT

from stackwheel import interface as face
from stackwheel.endpoints import EndpointList, Instance
from stackwheel.interface import Availability
from stackwheel.service.config import read_config
from stackwheel.state.clock import Clock
from stackwheel.state.endpoint_cache import EndpointCache
from stackwheel.state.planner_actor import HealthCheckTarget, PlannerActor
from stackwheel.state.server_ids import ServerIds, server_id
from stackwheel.state.streams import ProxyStream, StreamConnection
from stackwheel.state.table_updates import ProxyUpdate
from stackwheel.wire.line_codec import Encoder, decode
from stackwheel.wire.messages import DemandMessage

ZONES, CLASSES = ("east", "west", "south"), ("lookup", "save", "book", "audit")
PROXIES, SERVERS = 9, 24
TOLD: dict[str, dict[str, Any]] = {
    "lookup": {"target": 500.0, "deadline": 1200.0, "worth": 1.0, "effect": "repeatable"},
    "save": {
        "target": 1000.0,
        "deadline": 3000.0,
        "worth": 3.0,
        "effect": "by_key",
        "group": "zone",
        "key_ttl": 3000.0,
    },
    "book": {"target": 1000.0, "deadline": 3000.0, "worth": 5.0, "effect": "once"},
    "audit": {"target": 1000.0, "deadline": 3000.0, "worth": 3.0, "effect": "once", "only_zones": ("east", "south")},
}


def configuration(zones: Sequence[str], classes: Sequence[str], names: dict[str, str]) -> dict[str, Any]:
    """The example's, with zones and classes in this order and under other names."""
    found: dict[str, Any] = json.loads((ROOT / "examples" / "config.json").read_text())
    settings = found["settings"]
    settings["zones"] = [names.get(zone, zone) for zone in zones]
    settings["family_info"].update(
        agents=PROXIES, update_cap=0, queue_limit=100000.0, channel_rate=50000.0, zone_bound=[]
    )
    settings["services"] = []
    for wanted in classes:
        told = copy.deepcopy(TOLD[wanted])
        if "only_zones" in told:
            told["only_zones"] = [zones.index(zone) for zone in told["only_zones"]]
        settings["services"].append({"name": names.get(wanted, wanted), **told})
    return found


class RecordedConnection:
    def on_superseded(self) -> None:
        pass

    def on_attached(self) -> None:
        pass


class Written:
    """What goes out, as lines, in the names of the script."""

    def __init__(self, encoder: Encoder, back: dict[str, str]) -> None:
        self.encoder, self.back = encoder, back
        self.orders: list[tuple[int, list[tuple[object, ...]]]] = []

    def deliver(self, messages: Sequence[tuple[StreamConnection, ProxyUpdate]]) -> None:
        encoded = self.encoder.encode([message for _, message in messages])
        batch = [
            (message.proxy, sorted(map(self.part, data.decode().split("\r\n")[:-1]), key=repr))
            for (_, message), data in zip(messages, encoded, strict=True)
        ]
        self.orders += sorted(batch, key=repr)

    def part(self, line: str) -> tuple[object, ...]:
        words = dict(word.split("=", 1) for word in line.split(" ")[1:])
        words.pop("continued", None)
        words.pop("nonce_out", None)
        routes = tuple(sorted(self.back.get(name, name) for name in words.pop("routes", "").split("+")))
        ends = tuple(
            sorted(
                (name, float(f"{float(weight):.4g}"))
                for name, weight in (pair.rsplit(":", 1) for pair in words.pop("endpoints", "").split(",") if pair)
            )
        )
        return routes, ends, tuple(sorted(words.items()))

    def watch_endpoints(self, on: bool) -> None: ...

    def fetch_endpoints(self) -> None: ...

    def start_health_check(self, server: face.Server, asked: HealthCheckTarget) -> None: ...

    def send_gossip(self, payload: bytes, peer: int | None) -> None: ...


def play(
    zones: Sequence[str], classes: Sequence[str], names: dict[str, str]
) -> list[tuple[int, list[tuple[object, ...]]]]:
    """Joins, ten cycles of reports, a drain and an overload; what the proxies are told."""
    found = read_config(configuration(zones, classes, names))
    at = 1_000_000.0
    clock = Clock(lambda: at / 1000.0, lambda: at / 1000.0)
    clock.now = lambda: at  # type: ignore[method-assign]
    roster = EndpointCache(found.names.zones, found.names.kinds, ServerIds())
    kind = found.names.kinds[0]

    def listed(number: int, state: Availability = Availability.READY, started: float = 0.0) -> Instance:
        zone = ZONES[number % 3]
        return Instance(f"s-{number}", f"127.0.0.1:{number + 1}", names.get(zone, zone), kind, 0, state, 1.0, started)

    roster.apply(EndpointList(1, True, tuple(listed(n) for n in range(SERVERS))))
    out = Written(Encoder(found.names, roster.server_ids), {new: old for old, new in names.items()})
    module = PlannerActor(found.settings, 0.0, 5, clock, roster, out)
    module.set_timer = lambda delay, token: None  # type: ignore[method-assign]
    module.decide([roster.cached_update()])
    for proxy in range(PROXIES):
        module.post(
            ProxyStream(
                proxy,
                found.names.zones.index(names.get(ZONES[proxy % 3], ZONES[proxy % 3])),
                20.0,
                True,
                RecordedConnection(),
            )
        )
    module.process_batch()
    for cycle in range(10):
        at += found.settings.report_interval
        if cycle == 4:
            module.post(EndpointList(2, False, (listed(3, Availability.DRAINING), listed(40, started=at))))
        for zone in ZONES:
            for n in range(SERVERS):
                slow = 4.0 if cycle > 6 else 1.0 + 0.01 * n
                module.post(
                    face.LoadReport(
                        found.names.zones.index(names.get(zone, zone)),
                        server_id(f"s-{n}"),
                        20,
                        n == 5,
                        120.0 * slow,
                        1000.0,
                        (3.0,) * len(found.names.columns),
                    )
                )
        for proxy in range(PROXIES):
            for place, wanted in enumerate(CLASSES):
                line = f"RATE id={proxy} lane={names.get(wanted, wanted)} count={20 + 7 * place + proxy} fail=0 over=1000.0"
                told = decode(line.encode(), found.names)
                assert isinstance(told, DemandMessage)
                module.post(face.DemandReport(proxy, told.request_class, told.requests, 0, 1000.0))
        module.process_batch()
    return out.orders


RENAMED = {"east": "x-9", "west": "Zone_B", "south": "0", "lookup": "zz", "save": "q", "book": "aa", "audit": "m"}


@pytest.mark.parametrize(
    ("zones", "classes", "names"),
    [
        (ZONES, CLASSES, RENAMED),
        (ZONES[::-1], CLASSES, {}),
        (ZONES, CLASSES[::-1], {}),
        (("south", "east", "west"), ("book", "audit", "lookup", "save"), RENAMED),
    ],
)
def test_names_and_their_order_decide_nothing(
    zones: Sequence[str], classes: Sequence[str], names: dict[str, str]
) -> None:
    """Classes with as many servers to choose from were placed, and those of equal worth shed, in the settings' order."""
    usual = play(ZONES, CLASSES, {})
    assert any(re.search("admit", repr(parts)) for _, parts in usual) and len(usual) > 2 * PROXIES
    assert play(zones, classes, names) == usual


def test_one_configuration_leaves_nothing_to_the_next() -> None:
    usual = play(ZONES, CLASSES, {})
    play(("south", "east", "west"), ("book", "audit", "lookup", "save"), RENAMED)
    assert play(ZONES, CLASSES, {}) == usual
