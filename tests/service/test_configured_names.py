"""The updates of a planner do not depend on the names and the order of zones and request classes in the settings."""

from __future__ import annotations

import copy
import json
import re
from collections.abc import Sequence
from typing import Any

import pytest
from fake_services import ROOT

from stackwheel import interface
from stackwheel.endpoints import EndpointList, Instance
from stackwheel.interface import Availability
from stackwheel.service.config import read_config
from stackwheel.state.clock import Clock
from stackwheel.state.endpoint_cache import EndpointCache
from stackwheel.state.messages import HealthCheckTarget
from stackwheel.state.planner_actor import PlannerActor, PolicyOptions
from stackwheel.state.server_ids import ServerIds, server_id
from stackwheel.state.streams import ProxyStream, StreamConnection
from stackwheel.state.table_updates import ProxyUpdate
from stackwheel.wire.line_codec import Encoder, decode
from stackwheel.wire.messages import DemandMessage

ZONES, CLASSES = ("east", "west", "south"), ("lookup", "save", "book", "audit")
PROXIES, SERVERS = 9, 24
CLASS_SETTINGS: dict[str, dict[str, Any]] = {
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


def config_document(zones: Sequence[str], classes: Sequence[str], names: dict[str, str]) -> dict[str, Any]:
    """Build the example's configuration with the zones and classes in the given order, renamed by `names`."""
    document: dict[str, Any] = json.loads((ROOT / "examples" / "config.json").read_text())
    settings = document["settings"]
    settings["zones"] = [names.get(zone, zone) for zone in zones]
    settings["family_info"].update(agents=PROXIES, update_cap=0, backlog=100000.0, channel_rate=50000.0, zone_bound=[])
    settings["services"] = []
    for name in classes:
        class_settings = copy.deepcopy(CLASS_SETTINGS[name])
        if "only_zones" in class_settings:
            class_settings["only_zones"] = [zones.index(zone) for zone in class_settings["only_zones"]]
        settings["services"].append({"name": names.get(name, name), **class_settings})
    return document


class RecordedConnection:
    def on_superseded(self) -> None:
        pass

    def on_attached(self) -> None:
        pass


class RecordingPorts:
    """Records encoded updates, with names converted back to the original ones."""

    def __init__(self, encoder: Encoder, original_names: dict[str, str]) -> None:
        self.encoder = encoder
        self.original_names = original_names
        self.updates: list[tuple[int, list[tuple[object, ...]]]] = []

    def deliver(self, messages: Sequence[tuple[StreamConnection, ProxyUpdate]]) -> None:
        encoded = self.encoder.encode([message for _, message in messages])
        batch = [
            (message.proxy, sorted(map(self.parse_line, data.decode().split("\r\n")[:-1]), key=repr))
            for (_, message), data in zip(messages, encoded, strict=True)
        ]
        self.updates += sorted(batch, key=repr)

    def parse_line(self, line: str) -> tuple[object, ...]:
        fields = dict(field.split("=", 1) for field in line.split(" ")[1:])
        fields.pop("continued", None)
        fields.pop("nonce_out", None)
        routes = tuple(sorted(self.original_names.get(name, name) for name in fields.pop("routes", "").split("+")))
        weights = tuple(
            sorted(
                (name, float(f"{float(weight):.4g}"))
                for name, weight in (pair.rsplit(":", 1) for pair in fields.pop("endpoints", "").split(",") if pair)
            )
        )
        return routes, weights, tuple(sorted(fields.items()))

    def watch_endpoints(self, on: bool) -> None: ...

    def fetch_endpoints(self) -> None: ...

    def start_health_check(self, server: interface.ServerId, target: HealthCheckTarget) -> None: ...

    def send_gossip(self, payload: bytes, peer: int | None) -> None: ...


def run_scenario(
    zones: Sequence[str], classes: Sequence[str], names: dict[str, str]
) -> list[tuple[int, list[tuple[object, ...]]]]:
    """Run joins, ten cycles of reports, a drain and an overload; return the updates sent to the proxies."""
    loaded = read_config(config_document(zones, classes, names))
    now = 1_000_000.0
    clock = Clock(lambda: now / 1000.0, lambda: now / 1000.0)
    clock.now = lambda: now  # type: ignore[method-assign]
    endpoints = EndpointCache(loaded.names.zones, loaded.names.kinds, ServerIds())
    kind = loaded.names.kinds[0]

    def instance(number: int, state: Availability = Availability.READY, started: float = 0.0) -> Instance:
        zone = ZONES[number % 3]
        return Instance(f"s-{number}", f"127.0.0.1:{number + 1}", names.get(zone, zone), kind, 0, state, 1.0, started)

    endpoints.apply(EndpointList(1, True, tuple(instance(n) for n in range(SERVERS))))
    ports = RecordingPorts(Encoder(loaded.names, endpoints.server_ids), {new: old for old, new in names.items()})
    planner = PlannerActor(PolicyOptions(loaded.settings, 5), 0.0, clock, endpoints, ports)
    planner.set_timer = lambda _delay, _token: None  # type: ignore[method-assign]
    planner.run_policy([endpoints.cached_update()])
    for proxy in range(PROXIES):
        planner.post(
            ProxyStream(
                proxy,
                loaded.names.zones.index(names.get(ZONES[proxy % 3], ZONES[proxy % 3])),
                20.0,
                True,
                RecordedConnection(),
            )
        )
    planner.process_batch()
    for cycle in range(10):
        now += loaded.settings.report_interval
        if cycle == 4:
            planner.post(EndpointList(2, False, (instance(3, Availability.DRAINING), instance(40, started=now))))
        for zone in ZONES:
            for n in range(SERVERS):
                slow = 4.0 if cycle > 6 else 1.0 + 0.01 * n
                planner.post(
                    interface.LoadReport(
                        loaded.names.zones.index(names.get(zone, zone)),
                        server_id(f"s-{n}"),
                        20,
                        n == 5,
                        120.0 * slow,
                        1000.0,
                        (3.0,) * len(loaded.names.columns),
                    )
                )
        for proxy in range(PROXIES):
            for index, name in enumerate(CLASSES):
                requests = 20 + 7 * index + proxy
                line = f"RATE id={proxy} lane={names.get(name, name)} count={requests} fail=0 over=1000.0"
                message = decode(line.encode(), loaded.names)
                assert isinstance(message, DemandMessage)
                planner.post(interface.DemandReport(proxy, message.request_class, message.requests, 0, 1000.0))
        planner.process_batch()
    return ports.updates


NEW_NAMES = {"east": "x-9", "west": "Zone_B", "south": "0", "lookup": "zz", "save": "q", "book": "aa", "audit": "m"}


@pytest.mark.parametrize(
    ("zones", "classes", "names"),
    [
        (ZONES, CLASSES, NEW_NAMES),
        (ZONES[::-1], CLASSES, {}),
        (ZONES, CLASSES[::-1], {}),
        (("south", "east", "west"), ("book", "audit", "lookup", "save"), NEW_NAMES),
    ],
)
def test_updates_do_not_depend_on_names_and_their_order(
    zones: Sequence[str], classes: Sequence[str], names: dict[str, str]
) -> None:
    """Ties, such as classes with equal weight, must not be broken by the order of the settings."""
    expected = run_scenario(ZONES, CLASSES, {})
    assert any(re.search("admit", repr(parts)) for _, parts in expected)
    assert len(expected) > 2 * PROXIES
    assert run_scenario(zones, classes, names) == expected


def test_a_planner_with_another_configuration_leaves_no_state_behind() -> None:
    expected = run_scenario(ZONES, CLASSES, {})
    run_scenario(("south", "east", "west"), ("book", "audit", "lookup", "save"), NEW_NAMES)
    assert run_scenario(ZONES, CLASSES, {}) == expected
