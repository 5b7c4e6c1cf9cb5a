"""Hosts many planner instances in one process and keeps them apart."""

from __future__ import annotations

from stackwheel.interface import Event
from stackwheel.policy.planner import Planner
from stackwheel.settings import SettingsError, parse_settings
from stackwheel.simulator import wire
from stackwheel.simulator.wire import Batch, Create, Decoder, Down, WireError


class Host:
    """Gives each instance its own events and gathers its actions into one reply."""

    def __init__(self) -> None:
        self.decoder = Decoder()
        self.planners: dict[int, Planner] = {}

    def answer(self, header: bytes, body: bytes) -> bytes:
        batch = self.decoder.batch(header, body)
        records: list[bytes] = []
        pending: dict[int, list[Event]] = {}
        for instance, item in batch.records:
            if isinstance(item, Down):
                self.planners.pop(instance, None)
                pending.pop(instance, None)
            elif isinstance(item, Create):
                pending[instance] = []
                self.planners[instance] = create_planner(batch, instance, item)
            elif instance in self.planners:
                pending.setdefault(instance, []).append(item)
            else:
                raise WireError(f"batch {batch.number}: an event for unknown instance {instance}")
        for instance, events in pending.items():
            records += self.turn(instance, batch.clock, events)
        return wire.encode_reply(batch.number, records)

    def turn(self, instance: int, clock: float, events: list[Event]) -> list[bytes]:
        try:
            actions = self.planners[instance].handle(clock, events)
            return [wire.encode_action(instance, action) for action in actions]
        except Exception as error:
            return [wire.encode_fault(instance, f"{type(error).__name__}: {error}")]


def create_planner(batch: Batch, instance: int, item: Create) -> Planner:
    try:
        return Planner(parse_settings(item.settings), item.seed)
    except SettingsError as error:
        raise WireError(f"batch {batch.number}, settings of instance {instance}: {error}") from None
