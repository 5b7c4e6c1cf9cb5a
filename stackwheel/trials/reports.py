"""Delivery of the reports of proxies and collectors to planners: delayed, or with malformed lines."""

from __future__ import annotations

from stackwheel.trials.context import SimulationContext
from stackwheel.trials.line_protocol import LineProtocol
from stackwheel.trials.loop import Machine

OUT_OF_RANGE = 10**30


class ReportPath:
    """Sends report lines, subject to the current faults.

    Attributes:
        delay: Delay of all reports, in s.
        malformed_share: Share of lines that are malformed on purpose.
    """

    def __init__(self, context: SimulationContext) -> None:
        self.context = context
        self.delay = 0.0
        self.malformed_share = 0.0

    def send(self, machine: Machine, sender: LineProtocol, lines: list[str], extra_delay: float = 0.0) -> None:
        """Send lines on a connection of a machine after the current delay plus `extra_delay` s."""
        if self.malformed_share:
            generator = self.context.random
            lines = [self.malform(line) if generator.random() < self.malformed_share else line for line in lines]
        if lines:
            loop = self.context.loop
            loop.schedule_at(loop.now + (self.delay + extra_delay), machine, sender.send, *lines)

    def malform(self, line: str) -> str:
        """Replace one random field of a line by an invalid one, or remove it."""
        generator = self.context.random
        fields = line.split(" ")
        field_index = generator.randrange(1, len(fields))
        name = fields[field_index].partition("=")[0]
        replacement = generator.choice(("", f"{name}=-1", f"{name}=x", f"{name}=nan", f"{name}={OUT_OF_RANGE}"))
        return " ".join(field for field in (*fields[:field_index], replacement, *fields[field_index + 1 :]) if field)
