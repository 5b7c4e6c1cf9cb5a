"""The table of effects of faults."""

from __future__ import annotations

import typing

from stackwheel.trials.fault_effects import EFFECTS
from stackwheel.trials.faults import Fault


def test_every_kind_of_fault_has_an_effect() -> None:
    assert set(EFFECTS) == set(typing.get_args(Fault))
