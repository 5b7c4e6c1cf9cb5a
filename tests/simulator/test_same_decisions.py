"""The same events give the same decisions through the simulator's adapter and through the service."""

import asyncio
import json

import simulator_frames
from fake_services import FaultyDiscovery, config

from stackwheel import interface as face
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
SEED = 40  # of the only instance


def scripted_batches() -> list[bytes]:
    """The simulator's short day, with the ids that the service gives these servers."""
    batches = simulator_frames.scripted_batches(0)
    for number in range(simulator_frames.SERVERS):
        id_on_wire = simulator_frames.server_id(number)
        batches = [data.replace(id_on_wire, server_id(f"s-{number}")) for data in batches]
    return batches


def json_value(path: str, text: str) -> object:
    """A setting's value as JSON has it."""
    if text in ("true", "false"):
        return text == "true"
    if "," in text or path in LIST_SETTINGS:
        return text.split(",")
    return float(text) if text[0].isdigit() else text


def nested_settings() -> dict[str, object]:
    """The simulator's settings as JSON has them."""
    services: list[dict[str, object]] = [{}, {}]
    settings: dict[str, object] = {"services": services}
    for line in simulator_frames.SETTINGS.splitlines():
        path, _, text = line.partition("=")
        if path == "services.count":
            continue
        *folders, name = path.split(".")
        if folders and folders[0] == "services":
            services[int(folders[1])][name] = json_value(path, text)
            continue
        folder = settings
        for part in folders:
            folder = folder.setdefault(part, {})  # type: ignore[assignment]
        folder[name] = json_value(path, text)
    return settings


def test_json_settings_equal_the_simulators_settings() -> None:
    pairs = dict(flatten(nested_settings()))
    text = "\n".join(f"{path}={value}" for path, value in pairs.items()).encode()
    assert parse_settings(text) == parse_settings(simulator_frames.SETTINGS.encode())
    names = load_settings(nested_settings()).names
    assert names.classes == CLASSES
    assert names.columns == ("outstanding",)


def list_document(event: face.EndpointUpdate) -> bytes:
    """An endpoint update as discovery answers it."""
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
    reset = event.kind is not face.UpdateKind.DELTA
    return json.dumps({"generation": event.generation, "reset": reset, "instances": instances}).encode()


def protocol_line(event: Event) -> tuple[str, str]:
    """The sender of an event on the line protocol, and its line."""
    match event:
        case face.LoadReport(zone, server, attempts, failures, mean, window, load):
            return "collector", (
                f"LOAD site={ZONES[zone]} target={SERVER_NAMES[server]} count={attempts} fail={failures} "
                f"mean={mean} over={window} util=inflight:{load[0]}"
            )
        case face.DemandReport(proxy, request_class, requests, unanswered, window):
            return (
                f"proxy {proxy}",
                f"RATE id={proxy} lane={CLASSES[request_class]} count={requests} fail={unanswered} over={window}",
            )
        case face.ProxyJoined(proxy, zone, rate, newly_started):
            return f"proxy {proxy}", f"SUBSCRIBE id={proxy} site={ZONES[zone]} rps={rate} new={int(newly_started)}"
    raise AssertionError(event)


class RecordingPlanner(Planner):
    """The policy itself, with a record of what it decides."""

    decisions: list[list[Action]]

    def __init__(self, settings: Settings, seed: int) -> None:
        super().__init__(settings, seed)
        self.decisions = []

    def handle(self, now: float, events: object) -> list[Action]:
        self.decisions.append(super().handle(now, events))  # type: ignore[arg-type]
        return self.decisions[-1]


class ManualClock:
    """A clock that stands where the test sets it."""

    def __init__(self) -> None:
        self.time = 0.0

    def now(self) -> float:
        return self.time


def events_of(batch: Batch) -> list[Event]:
    return [event_of(item) for item in batch.items if not isinstance(item.item, CreatePlanner)]


def event_of(item: InstanceItem) -> Event:
    assert not isinstance(item.item, CreatePlanner | StopPlanner)
    return item.item


async def decisions_of_the_service(batches: list[Batch], service_config: Config) -> list[list[Action]]:
    """Feed the batches to a planner by sockets and discovery's answers, one event after another."""
    endpoints = EndpointCache(service_config.names.zones, service_config.names.kinds, ServerIds())
    clock = ManualClock()
    transport = SocketTransport(
        service_config.addresses,
        service_config.settings,
        service_config.names,
        endpoints,
        clock,  # type: ignore[arg-type]
    )
    policy = PolicyOptions(service_config.settings, SEED, RecordingPlanner)
    actor = PlannerActor(policy, 0.0, clock, endpoints, transport, 1e12)  # type: ignore[arg-type]
    await transport.open(actor.post)
    host, _, port = service_config.addresses.listen.rpartition(":")
    writers: dict[str, asyncio.StreamWriter] = {}
    for batch in batches:
        clock.time = batch.clock
        events = events_of(batch)
        for event in events:
            if isinstance(event, face.EndpointUpdate):
                update = parse_endpoint_list(list_document(event))
                if event.kind is face.UpdateKind.CACHED:
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
            while len(actor.mailbox) == messages_before:  # in the order of the batch
                await asyncio.sleep(0.001)
        if (events and not isinstance(events[0], face.EndpointUpdate)) or len(events) > 1:
            actor.process_batch()
    assert isinstance(actor.planner, RecordingPlanner)
    return actor.planner.decisions


def decisions_of_the_policy(batches: list[Batch]) -> list[list[Action]]:
    planner = Planner(parse_settings(simulator_frames.SETTINGS.encode()), SEED)
    return [planner.handle(batch.clock, events_of(batch)) for batch in batches if batch.items]


def records_of_the_simulator() -> list[list[bytes]]:
    """What the adapter answers to the batches that hold something for a planner."""
    host = Host()
    decoder = Decoder()
    records = []
    for data in scripted_batches():
        frame = simulator_frames.frame_of(data)
        (reply,) = simulator_frames.split_replies(host.reply_to(frame))
        if decoder.decode_batch(frame).items:
            records.append(reply.records)
    return records


def test_same_decisions() -> None:
    decoder = Decoder()
    batches = [decoder.decode_batch(simulator_frames.frame_of(data)) for data in scripted_batches()]

    async def run_service() -> list[list[Action]]:
        discovery = FaultyDiscovery()
        await discovery.start()
        discovery.faults = ["no response"] * 9  # the test passes the endpoint list on itself
        settings = {**nested_settings(), "me": 0}
        service_config = read_config(config(discovery.address, peers=[], settings=settings))
        return await asyncio.wait_for(decisions_of_the_service(batches, service_config), 60)

    by_service = asyncio.run(run_service())
    assert sum(len(actions) for actions in by_service) > 100
    by_policy = decisions_of_the_policy(batches)
    encoded = [[encode_action(0, action) for action in actions] for actions in by_policy]
    assert encoded == records_of_the_simulator()
    assert by_policy == by_service
