"""State shared by all parts of a simulation: script, clock, network, random numbers, checker and digest."""

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
    """Hash of all events of a run; runs with the same events have the same digest."""

    HEADER = struct.Struct("<dI")  # time of the event in s, and a port or request number

    def __init__(self) -> None:
        self.hasher = hashlib.blake2b(digest_size=DIGEST_BYTES)

    def add(self, now: float, number: int, data: bytes) -> None:
        """Add an event with its time in s and a number that identifies the receiver or the request."""
        self.hasher.update(self.HEADER.pack(now, number) + data)

    def add_text(self, text: str) -> None:
        """Add a text without a time."""
        self.hasher.update(text.encode())

    def hexdigest(self) -> str:
        """Return the digest of all events added so far, as hexadecimal digits."""
        return self.hasher.hexdigest()


class SimulationContext:
    """State and services that all parts of a simulation use; it does not refer to the parts.

    Attributes:
        random: Random numbers of all parts except the network, the proxies and the relays.
        zone_of_machine: Zone by machine name; a machine without a zone has the latency within a zone to all others.
        planner_numbers: Number of the planner by machine name.
        retired_machines: Former incarnations, referenced so that none is finalised at a nondeterministic time.
        transit_factor: Factor of the transit time of updates.
        counts: Counts of the run, by name.
        trace: Called with a line for each event, if a trace is requested.
    """

    def __init__(self, script: Script, trace: Callable[[str], None] | None = None) -> None:
        self.script = script
        self.shape = script.shape
        self.trace = trace
        self.loop = VirtualLoop()  # type: ignore[abstract]  # implements only the methods that the service uses
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
        """Return the virtual time in ms."""
        return self.loop.now * 1000.0

    def schedule_after(self, delay: float, callback: Callable[..., object], *args: object) -> None:
        """Schedule a callback that belongs to no machine after a delay in s."""
        self.loop.schedule_at(self.loop.now + delay, None, callback, *args)

    def latency(self, source: Machine, target: Machine) -> float:
        """Return the mean latency from one machine to another, in s."""
        source_zone = self.zone_of_machine.get(source.name)
        target_zone = self.zone_of_machine.get(target.name)
        same_zone = source_zone is None or target_zone is None or source_zone == target_zone
        return (self.shape.zone_latency if same_zone else self.shape.cross_zone_latency) / 1000.0

    def planner_of(self, machine: Machine) -> int | None:
        """Return the number of the planner that runs on a machine; None for other machines."""
        return self.planner_numbers.get(machine.name)

    def start_machine(self, machine: Machine, host: str) -> Machine:
        """Return the machine of a process's next incarnation: the same one if it is alive, otherwise a new one."""
        current = machine
        if not machine.alive:
            current = Machine(machine.name)
            self.retired_machines.append(machine)
        self.network.assign_host(host, current)
        self.network.reset_vanished(machine)
        return current

    def count(self, name: str, by: int = 1) -> None:
        """Increment a count of the run."""
        self.counts[name] = self.counts.get(name, 0) + by
