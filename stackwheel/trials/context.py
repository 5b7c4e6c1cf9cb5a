"""What all parts of one simulated run share: script, clock, network, random numbers, checker and digest."""

from __future__ import annotations

import hashlib
import random
import struct
from collections.abc import Callable

from stackwheel.rules.checker import Checker
from stackwheel.rules.violations import Limits
from stackwheel.trials.loop import Machine, VirtualLoop
from stackwheel.trials.network import Network
from stackwheel.trials.planner_config import simulated_settings
from stackwheel.trials.script import Script

DIGEST_BYTES = 16


class RunDigest:
    """A hash over all that happened: two runs with the same digest are the same run."""

    HEADER = struct.Struct("<dI")  # when, and a number that says to whom

    def __init__(self) -> None:
        self.hasher = hashlib.blake2b(digest_size=DIGEST_BYTES)

    def add(self, now: float, number: int, data: bytes) -> None:
        """Add an event."""
        self.hasher.update(self.HEADER.pack(now, number) + data)

    def add_text(self, text: str) -> None:
        """Add a line that belongs to no time."""
        self.hasher.update(text.encode())

    def hexdigest(self) -> str:
        """The digest so far."""
        return self.hasher.hexdigest()


class SimulationContext:
    """The base that the parts of a simulation are built on; it knows none of them.

    Attributes:
        random: Draws what the script leaves to chance outside of the network and the proxies.
        zone_of_machine: By a machine's name; machines without a zone are near to all.
        planner_numbers: By a planner machine's name.
        retired_machines: Former incarnations, kept so that none is finalised at a random time.
        transit_factor: Of the time that updates take.
        counts: Figures of the run, by name.
        trace: Takes a line for each thing that happens, if asked for.
    """

    def __init__(self, script: Script, trace: Callable[[str], None] | None = None) -> None:
        self.script = script
        self.shape = script.shape
        self.trace = trace
        self.loop = VirtualLoop()  # type: ignore[abstract]  # it has what the service uses of a loop
        self.random = random.Random(f"world {script.seed}")
        self.zones = tuple(f"z{number}" for number in range(self.shape.zones))
        self.network = Network(self.loop, random.Random(f"network {script.seed}"), self.latency)
        self.network.receive_window = self.shape.receive_window
        settings = simulated_settings(self.shape, self.zones)
        self.checker = Checker(Limits.from_settings(settings), settings.classes, self.shape.zones)
        self.digest = RunDigest()
        self.zone_of_machine: dict[str, int] = {}
        self.planner_numbers: dict[str, int] = {}
        self.retired_machines: list[Machine] = []
        self.transit_factor = 1.0
        self.counts: dict[str, int] = {}

    def now_ms(self) -> float:
        """The virtual time in ms, as the checker takes it."""
        return self.loop.now * 1000.0

    def schedule_after(self, delay: float, callback: Callable[..., object], *args: object) -> None:
        """Run something that belongs to no machine after a delay in s."""
        self.loop.schedule_at(self.loop.now + delay, None, callback, *args)

    def latency(self, source: Machine, target: Machine) -> float:
        """Seconds from one machine to another, as a mean."""
        source_zone = self.zone_of_machine.get(source.name)
        target_zone = self.zone_of_machine.get(target.name)
        same_zone = source_zone is None or target_zone is None or source_zone == target_zone
        return (self.shape.zone_latency if same_zone else self.shape.cross_zone_latency) / 1000.0

    def planner_of(self, machine: Machine) -> int | None:
        """The number of the planner on a machine, if it is one's."""
        return self.planner_numbers.get(machine.name)

    def successor(self, machine: Machine, host: str) -> Machine:
        """The machine of the next incarnation of a process: the same one if it still lives."""
        present = machine
        if not machine.alive:
            present = Machine(machine.name)
            self.retired_machines.append(machine)
        self.network.place(host, present)
        self.network.reset_vanished(machine)
        return present

    def count(self, name: str, by: int = 1) -> None:
        """Add to one of the run's figures."""
        self.counts[name] = self.counts.get(name, 0) + by
