"""The catalogue of all deliberate defects."""

from __future__ import annotations

from stackwheel.trials.defects.files import FILE_DEFECTS
from stackwheel.trials.defects.forwarder import FORWARDER_DEFECTS
from stackwheel.trials.defects.planting import Defect
from stackwheel.trials.defects.policy import POLICY_DEFECTS
from stackwheel.trials.defects.relay import RELAY_DEFECTS
from stackwheel.trials.defects.state import STATE_DEFECTS
from stackwheel.trials.defects.wire import WIRE_DEFECTS

ALL_DEFECTS: tuple[Defect, ...] = (
    *POLICY_DEFECTS,
    *STATE_DEFECTS,
    *WIRE_DEFECTS,
    *FORWARDER_DEFECTS,
    *FILE_DEFECTS,
    *RELAY_DEFECTS,
)


def find_defect(name: str | None) -> Defect | None:
    """Return the defect with a name; None if there is none, or if the name is None."""
    return next((defect for defect in ALL_DEFECTS if defect.name == name), None)
