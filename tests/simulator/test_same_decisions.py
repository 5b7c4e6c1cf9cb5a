"""Tests that the simulator adapter and the service make the same decisions for the same events."""

import asyncio
import json

import simulator_frames
from fake_services import FaultyDiscovery, config

from stackwheel import interface
from stackwheel.interface import Action, Event, Settings
from stackwheel.policy.planner import Planner
from stackwheel.service.config import Config, read_config
from stackwheel.settings import flatten, load_settings, parse_settings
from stackwheel.simulator.decoder import Batch, CreatePlanner, Decoder, InstanceItem, StopPlanner
from stackwheel.simulator.encoder import encode_action
from stackwheel.simulator.host import Host
from stackwheel.state.endpoint_cache import EndpointCache
from stackwheel.state.planner_actor import PlannerActor, PolicyOptions
from stackwheel.state.server_ids import ServerIds, server_id
from stackwheel.wire.discovery_protocol import parse_endpoint_list
from stackwheel.wire.transport import SocketTransport

ZONES = ("east", "west")
KINDS = ("big", "small")
CLASSES = ("read", "write")
SERVER_NAMES = {server_id(f"s-{number}"): f"s-{number}" for number in range(simulator_frames.SERVERS)}
LIFECYCLES = {0: "terminated", 1: "in_service", 2: "terminating"}
LIST_SETTINGS = ("kinds", "zones", "load_report.columns")
PLANNER_SEED = 40  # seed of instance 0 in the scripted batches


def scripted_batches() -> list[bytes]:
    """Return the scripted batches with the server ids that the service assigns."""
    batches = simulator_frames.scripted_batches(0)
    for number in range(simulator_frames.SERVERS):
        id_on_wire = simulator_frames.server_id(number)
        batches = [data.replace(id_on_wire, server_id(f"s-{number}")) for data in batches]
    return batches


def json_value(path: str, text: str) -> object:
    """Convert the value of a setting from text to JSON."""
    if text in ("true", "false"):
        return text == "true"
    if "," in text or path in LIST_SETTINGS:
        return text.split(",")
    return float(text) if text[0].isdigit() else text


def nested_settings() -> dict[str, object]:
    """Convert the settings of the simulator to nested JSON."""
    services: list[dict[str, object]] = [{}, {}]
    settings: dict[str, object] = {"services": services}
    for line in simulator_frames.SETTINGS.splitlines():
        path, _, text = line.partition("=")
        if path == "services.count":
            continue
        *parents, name = path.split(".")
        if parents and parents[0] == "services":
            services[int(parents[1])][name] = json_value(path, text)
            continue
        container = settings
        for parent in parents:
            container = container.setdefault(parent, {})  # type: ignore[assignment]
        container[name] = json_value(path, text)
    return settings


def test_nested_json_settings_equal_the_settings_of_the_simulator() -> None:
    pairs = dict(flatten(nested_settings()))
    text = "\n".join(f"{path}={value}" for path, value in pairs.items()).encode()
    assert parse_settings(text) == parse_settings(simulator_frames.SETTINGS.encode())
    names = load_settings(nested_settings()).names
    assert names.classes == CLASSES
    assert names.columns == ("outstanding",)


def list_document(event: interface.EndpointUpdate) -> bytes:
    """Encode an endpoint update as a response of the discovery service."""
    instances = [
        {
            "instanceId": SERVER_NAMES[entry.server],
            "hostPort": "127.0.0.1:1",
            "zone": ZONES[entry.zone],
            "machineType": KINDS[entry.kind],
            "cell": entry.cell,
            "lifecycle": LIFECYCLES[entry.availability],
            "weight": entry.weight,
            "startedAtMs": entry.started_at,
        }
        for entry in event.entries
    ]
    reset = event.kind is not interface.UpdateKind.DELTA
    return json.dumps({"generation": event.generation, "reset": reset, "instances": instances}).encode()


def protocol_line(event: Event) -> tuple[str, str]:
    """Return the sender of an event in the line protocol, and the line that it sends."""
    match event:
        case interface.LoadReport(zone, server, attempts, failures, mean, window, load):
            return "collector", (
                f"LOAD site={ZONES[zone]} target={SERVER_NAMES[server]} count={attempts} fail={failures} "
                f"mean={mean} over={window} util=inflight:{load[0]}"
            )
        case interface.DemandReport(proxy, request_class, requests, unanswered, window):
            return (
                f"proxy {proxy}",
                f"RATE id={proxy} lane={CLASSES[request_class]} count={requests} fail={unanswered} over={window}",
            )
        case interface.ProxyJoined(proxy, zone, rate, newly_started):
            return f"proxy {proxy}", f"SUBSCRIBE id={proxy} site={ZONES[zone]} rps={rate} new={int(newly_started)}"
    raise AssertionError(event)


class RecordingPlanner(Planner):
    """The policy, with a record of its decisions."""

    decisions: list[list[Action]]

    def __init__(self, settings: Settings, seed: int) -> None:
        super().__init__(settings, seed)
        self.decisions = []

    def handle(self, now: float, events: object) -> list[Action]:
        self.decisions.append(super().handle(now, events))  # type: ignore[arg-type]
        return self.decisions[-1]


class ManualClock:
    """A clock whose time is set by the test."""

    def __init__(self) -> None:
        self.time = 0.0

    def now(self) -> float:
        return self.time


def events_in(batch: Batch) -> list[Event]:
    return [event_of(item) for item in batch.items if not isinstance(item.item, CreatePlanner)]


def event_of(item: InstanceItem) -> Event:
    assert not isinstance(item.item, CreatePlanner | StopPlanner)
    return item.item


async def service_decisions(batches: list[Batch], service_config: Config) -> list[list[Action]]:
    """Send the events of the batches one by one to a planner actor, over sockets and as responses of discovery."""
    endpoints = EndpointCache(service_config.names.zones, service_config.names.kinds, ServerIds())
    clock = ManualClock()
    transport = SocketTransport(
        service_config.addresses,
        service_config.settings,
        service_config.names,
        endpoints,
        clock,  # type: ignore[arg-type]
    )
    policy = PolicyOptions(service_config.settings, PLANNER_SEED, RecordingPlanner)
    actor = PlannerActor(policy, 0.0, clock, endpoints, transport, 1e12)  # type: ignore[arg-type]
    await transport.open(actor.post)
    host, _, port = service_config.addresses.listen.rpartition(":")
    writers: dict[str, asyncio.StreamWriter] = {}
    for batch in batches:
        clock.time = batch.clock
        events = events_in(batch)
        for event in events:
            if isinstance(event, interface.EndpointUpdate):
                update = parse_endpoint_list(list_document(event))
                if event.kind is interface.UpdateKind.CACHED:
                    endpoints.apply(update)
                    actor.run_policy([endpoints.cached_update()])
                else:
                    actor.post(update)
                continue
            sender, line = protocol_line(event)
            if sender not in writers:
                _, writers[sender] = await asyncio.open_connection(host, int(port))
                writers[sender].write(b"SOURCE site=east\r\n" if sender == "collector" else b"")
            messages_before = len(actor.mailbox)
            writers[sender].write(line.encode() + b"\r\n")
            while len(actor.mailbox) == messages_before:  # one event at a time, to preserve their order
                await asyncio.sleep(0.001)
        if (events and not isinstance(events[0], interface.EndpointUpdate)) or len(events) > 1:
            actor.process_batch()
    assert isinstance(actor.planner, RecordingPlanner)
    return actor.planner.decisions


def policy_decisions(batches: list[Batch]) -> list[list[Action]]:
    planner = Planner(parse_settings(simulator_frames.SETTINGS.encode()), PLANNER_SEED)
    return [planner.handle(batch.clock, events_in(batch)) for batch in batches if batch.items]


def simulator_records() -> list[list[bytes]]:
    """Return the adapter's replies to the batches that contain events of a planner."""
    host = Host()
    decoder = Decoder()
    records = []
    for data in scripted_batches():
        frame = simulator_frames.frame_of(data)
        (reply,) = simulator_frames.split_replies(host.reply_to(frame))
        if decoder.decode_batch(frame).items:
            records.append(reply.records)
    return records


def test_the_simulator_and_the_service_make_the_same_decisions() -> None:
    decoder = Decoder()
    batches = [decoder.decode_batch(simulator_frames.frame_of(data)) for data in scripted_batches()]

    async def run_service() -> list[list[Action]]:
        discovery = FaultyDiscovery()
        await discovery.start()
        discovery.faults = ["no response"] * 9  # the test supplies the endpoint lists
        settings = {**nested_settings(), "me": 0}
        service_config = read_config(config(discovery.address, peers=[], settings=settings))
        return await asyncio.wait_for(service_decisions(batches, service_config), 60)

    decisions_by_service = asyncio.run(run_service())
    assert sum(len(actions) for actions in decisions_by_service) > 100
    decisions_by_policy = policy_decisions(batches)
    encoded = [[encode_action(0, action) for action in actions] for actions in decisions_by_policy]
    assert encoded == simulator_records()
    assert decisions_by_policy == decisions_by_service
