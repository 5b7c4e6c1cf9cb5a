"""Commands and options of the discovery client, and the result of a watch at one replica."""

from __future__ import annotations

import math
from collections.abc import Callable
from enum import Enum, auto
from typing import NamedTuple

from stackwheel.wire.http import CallError


class Command(Enum):
    """Commands for the client; see `DiscoveryClient.send`."""

    WATCH = auto()
    """Start a watch, which replaces an open watch."""

    STOP = auto()
    """End all watches."""

    FETCH = auto()
    """Fetch the complete list once."""

    RENEW = auto()
    """Open a second watch of the same address, which replaces the first watch when it has delivered a list.

    An earlier second watch of that address is cancelled, because it has not delivered a list in time either.
    """

    HAND_OVER = auto()
    """Open a watch of the new address, which replaces the watch of the old address when it has delivered a list."""


class ChangeAddress(NamedTuple):
    """The command to use another discovery service.

    Attributes:
        address: "host:port" of the service, or the comma-separated addresses of its replicas.
    """

    address: str


class WatchEnd(NamedTuple):
    """The end of a watch at one replica.

    Attributes:
        error: error that ended the watch.
        received_list: whether the watch had delivered an endpoint list.
    """

    error: CallError
    received_list: bool


class DiscoveryOptions(NamedTuple):
    """Options of a discovery client.

    Attributes:
        always_watch: whether the client starts to watch without a command, and starts a new watch after a failure
            instead of posting the failure.
        poll_deadline_ms: maximum time between two fetches of the list without a watch, ms; the maximum retry delay is a
            share of it.
        renewal_interval_ms: maximum time without a change after which a watch is renewed, ms.
        on_heartbeat: called for each heartbeat of a watch that has delivered a list.
    """

    always_watch: bool = False
    poll_deadline_ms: float = math.inf
    renewal_interval_ms: float = math.inf
    on_heartbeat: Callable[[], None] = lambda: None


DEFAULT_OPTIONS = DiscoveryOptions()
"""Options of a client that only executes commands, without retries and renewals."""
