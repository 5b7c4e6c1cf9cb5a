"""Server ids."""

from __future__ import annotations

import pytest

from stackwheel import interface
from stackwheel.state.server_ids import ServerIds, server_id


def test_ids_are_derived_from_names_and_collisions_are_rejected(monkeypatch: pytest.MonkeyPatch) -> None:
    assert server_id("s-5be2a07c") == bytes.fromhex("3178665d73ea")
    assert len(server_id("x")) == 6
    monkeypatch.setattr("stackwheel.state.server_ids.server_id", lambda _name: interface.ServerId(b"\0" * 6))
    ids = ServerIds()
    assert ids.register("s-1") == ids.register("s-1") == b"\0" * 6
    assert ids.register("s-2") is None
    assert ids.name(interface.ServerId(b"\0" * 6)) == "s-1"
