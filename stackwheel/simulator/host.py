"""Runs several independent planner instances of a simulation in one process."""

from __future__ import annotations

from stackwheel.interface import Event
from stackwheel.policy.planner import Planner
from stackwheel.settings import SettingsError, parse_settings
from stackwheel.simulator.decoder import Batch, CreatePlanner, Decoder, StopPlanner
from stackwheel.simulator.encoder import encode_action, encode_fault
from stackwheel.simulator.errors import WireError
from stackwheel.simulator.framing import Frame, encode_reply


class Host:
    """Dispatches the events of a batch to planner instances and collects their actions in one reply."""

    def __init__(self) -> None:
        self._decoder = Decoder()
        self._planners: dict[int, Planner] = {}

    def reply_to(self, frame: Frame) -> bytes:
        """Process a batch and return the encoded reply with the actions of the planners.

        Raises:
            WireError: the batch is malformed, has an event for an unknown instance, or contains invalid settings.
        """
        batch = self._decoder.decode_batch(frame)
        events_by_instance = self._sort_events(batch)
        records: list[bytes] = []
        for instance, events in events_by_instance.items():
            records += self._run_planner(instance, batch.clock, events)
        return encode_reply(batch.number, records)

    def _sort_events(self, batch: Batch) -> dict[int, list[Event]]:
        """Start and stop planners, and return the events for each planner that runs at the end of the batch."""
        events_by_instance: dict[int, list[Event]] = {}
        for instance, item in batch.items:
            if isinstance(item, StopPlanner):
                self._planners.pop(instance, None)
                events_by_instance.pop(instance, None)
            elif isinstance(item, CreatePlanner):
                events_by_instance[instance] = []
                self._planners[instance] = create_planner(batch.number, instance, item)
            elif instance in self._planners:
                events_by_instance.setdefault(instance, []).append(item)
            else:
                raise WireError(f"batch {batch.number}", f"event for unknown instance {instance}")
        return events_by_instance

    def _run_planner(self, instance: int, clock: float, events: list[Event]) -> list[bytes]:
        """Run one planner and return its actions as records, or one fault record if it raises an exception."""
        try:
            actions = self._planners[instance].handle(clock, events)
            return [encode_action(instance, action) for action in actions]
        except Exception as error:
            return [encode_fault(instance, f"{type(error).__name__}: {error}")]


def create_planner(batch_number: int, instance: int, request: CreatePlanner) -> Planner:
    """Create a planner with the requested settings and seed; raises WireError if the settings are invalid."""
    try:
        return Planner(parse_settings(request.settings), request.seed)
    except SettingsError as error:
        raise WireError(f"batch {batch_number}, settings of instance {instance}", str(error)) from error
