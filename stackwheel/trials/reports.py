"""Reports of proxies and collectors on their way to planners: late, or with malformed lines."""

from __future__ import annotations

from stackwheel.trials.context import SimulationContext
from stackwheel.trials.line_protocol import LineProtocol
from stackwheel.trials.loop import Machine

HUGE = 10**30  # a number that no field may hold


class ReportPath:
    """How reports travel for now.

    Attributes:
        delay: By how much they are late, in s.
        malformed_share: Of lines that are spoiled.
    """

    def __init__(self, context: SimulationContext) -> None:
        self.context = context
        self.delay = 0.0
        self.malformed_share = 0.0

    def send(self, machine: Machine, sender: LineProtocol, lines: list[str], extra_delay: float = 0.0) -> None:
        """Send lines on a connection of a machine, `extra_delay` s later than others."""
        if self.malformed_share:
            generator = self.context.random
            lines = [self.malform(line) if generator.random() < self.malformed_share else line for line in lines]
        if lines:
            loop = self.context.loop
            loop.schedule_at(loop.now + (self.delay + extra_delay), machine, sender.send, *lines)

    def malform(self, line: str) -> str:
        """Replace one field of a line by what can't be used, or by nothing."""
        generator = self.context.random
        fields = line.split(" ")
        place = generator.randrange(1, len(fields))
        name = fields[place].partition("=")[0]
        replacement = generator.choice(("", f"{name}=-1", f"{name}=x", f"{name}=nan", f"{name}={HUGE}"))
        return " ".join(field for field in (*fields[:place], replacement, *fields[place + 1 :]) if field)
