"""The same events give the same decisions through the drill and through the service."""

import asyncio
import json

import simulator_frames
from fake_services import Discovery, config

from stackwheel import interface as face
from stackwheel.balance import Planner
from stackwheel.interface import Action, Event, Settings
from stackwheel.service.config import Config, read_config
from stackwheel.settings import build_all, flatten, parse_settings
from stackwheel.simulator.host import Host
from stackwheel.simulator.wire import Batch, Create, Decoder, encode_action
from stackwheel.state.endpoint_cache import EndpointCache
from stackwheel.state.planner_actor import PlannerActor
from stackwheel.state.server_ids import ServerIds, server_id
from stackwheel.wire.discovery_client import parse_listing
from stackwheel.wire.transport import SocketTransport

NAMES = {server_id(f"s-{number}"): f"s-{number}" for number in range(6)}
LIFECYCLES = {0: "terminated", 1: "in_service", 2: "terminating"}


def day() -> list[bytes]:
    """The drill's day, with the ids that the service gives these servers."""
    found = simulator_frames.day(0)
    for number in range(6):
        found = [frame.replace(simulator_frames.server(number), server_id(f"s-{number}")) for frame in found]
    return found


def nested() -> dict[str, object]:
    """The drill's settings as JSON has them."""
    found: dict[str, object] = {"services": [{}, {}]}
    for line in simulator_frames.SETTINGS.splitlines():
        path, _, text = line.partition("=")
        value: object = {"true": True, "false": False}.get(
            text,
            text.split(",")
            if "," in text or path in ("kinds", "zones", "load_report.columns")
            else float(text)
            if text[0].isdigit()
            else text,
        )
        place = found
        if path == "services.count":
            continue
        *folders, last = path.split(".")
        if folders and folders[0] == "services":
            found["services"][int(folders[1])][last] = value  # type: ignore[index]
            continue
        for folder in folders:
            place = place.setdefault(folder, {})  # type: ignore[assignment]
        place[last] = value
    return found


def test_json_settings_are_the_drills() -> None:
    pairs = dict(flatten(nested()))
    blob = "\n".join(f"{path}={value}" for path, value in pairs.items()).encode()
    assert parse_settings(blob) == parse_settings(simulator_frames.SETTINGS.encode())
    _, names, _ = build_all(pairs)
    assert names.classes == ("read", "write") and names.columns == ("outstanding",)


def document(event: face.EndpointUpdate) -> bytes:
    return json.dumps(
        {
            "generation": event.version,
            "reset": event.kind is not face.UpdateKind.DELTA,
            "instances": [
                {
                    "instanceId": NAMES[e.server],
                    "hostPort": "127.0.0.1:1",
                    "zone": ("east", "west")[e.zone],
                    "machineType": ("big", "small")[e.kind],
                    "cell": e.cell,
                    "lifecycle": LIFECYCLES[e.availability],
                    "weight": e.weight,
                    "startedAtMs": e.started_at,
                }
                for e in event.entries
            ],
        }
    ).encode()


def line(event: Event) -> tuple[str, str]:
    """Who says it, and how."""
    match event:
        case face.LoadReport(zone, server, tries, bad, mean, window, load):
            return "collector", (
                f"LOAD site={('east', 'west')[zone]} target={NAMES[server]} count={tries} fail={bad} "
                f"mean={mean} over={window} util=inflight:{load[0]}"
            )
        case face.DemandReport(proxy, place, requests, unanswered, window):
            return (
                f"proxy {proxy}",
                f"RATE id={proxy} lane={('read', 'write')[place]} count={requests} fail={unanswered} over={window}",
            )
        case face.ProxyJoined(proxy, zone, rate, fresh):
            return f"proxy {proxy}", f"SUBSCRIBE id={proxy} site={('east', 'west')[zone]} rps={rate} new={int(fresh)}"
    raise AssertionError(event)


class Watched(Planner):
    """The policy itself, with a note of what it decides."""

    decided: list[list[Action]]

    def __init__(self, settings: Settings, seed: int) -> None:
        super().__init__(settings, seed)
        self.decided = []

    def handle(self, now: float, events: object) -> list[Action]:
        self.decided.append(super().handle(now, events))  # type: ignore[arg-type]
        return self.decided[-1]


class SetClock:
    def __init__(self) -> None:
        self.at = 0.0

    def now(self) -> float:
        return self.at


async def through_the_service(batches: list[Batch], found: Config) -> list[list[Action]]:
    roster, clock = EndpointCache(found.names.zones, found.names.kinds, ServerIds()), SetClock()
    links = SocketTransport(found.addresses, found.settings, found.names, roster, clock)  # type: ignore[arg-type]
    module = PlannerActor(found.settings, 0.0, 40, clock, roster, links, 1e12, Watched)  # type: ignore[arg-type]
    await links.open(module.post)
    host, _, port = found.addresses.listen.rpartition(":")
    speakers: dict[str, asyncio.StreamWriter] = {}
    for batch in batches:
        clock.at, events = batch.clock, [item for _, item in batch.records if not isinstance(item, Create)]
        for event in events:
            if isinstance(event, face.EndpointUpdate):
                listing = parse_listing(document(event))
                if event.kind is face.UpdateKind.CACHED:
                    roster.apply(listing)  # type: ignore[arg-type]
                    module.decide([roster.cached_update()])
                else:
                    module.post(listing)  # type: ignore[arg-type]
                continue
            who, text = line(event)
            if who not in speakers:
                _, speakers[who] = await asyncio.open_connection(host, int(port))
                speakers[who].write(b"SOURCE site=east\r\n" if who == "collector" else b"")
            waiting = len(module.mailbox)
            speakers[who].write(text.encode() + b"\r\n")
            while len(module.mailbox) == waiting:  # in the order of the batch
                await asyncio.sleep(0.001)
        if (events and not isinstance(events[0], face.EndpointUpdate)) or len(events) > 1:
            module.process_batch()
    assert isinstance(module.planner, Watched)
    return module.planner.decided


def test_same_decisions() -> None:
    async def work() -> tuple[list[Batch], list[list[Action]]]:
        discovery = Discovery()
        await discovery.start()
        discovery.troubles = ["silence"] * 9  # the test tells the list itself
        found = read_config(config(discovery.address, peers=[], settings={**nested(), "me": 0}))
        decoder = Decoder()
        batches = [decoder.batch(frame[:20], frame[20:]) for frame in day()]
        return batches, await asyncio.wait_for(through_the_service(batches, found), 60)

    batches, decided = asyncio.run(work())
    host = Host()
    replies = [simulator_frames.replies(host.answer(frame[:20], frame[20:]))[0][1] for frame in day()]
    expected = [records for records, batch in zip(replies, batches, strict=True) if batch.records]
    assert sum(len(actions) for actions in decided) > 100
    decoder = Decoder()
    planner = Planner(parse_settings(simulator_frames.SETTINGS.encode()), 40)
    again: list[list[Action]] = []
    for frame in day():
        batch = decoder.batch(frame[:20], frame[20:])
        if batch.records:
            again.append(planner.handle(batch.clock, [i for _, i in batch.records if not isinstance(i, Create)]))  # type: ignore[misc]
    assert [[encode_action(0, action) for action in actions] for actions in again] == expected  # the drill's
    assert again == decided
