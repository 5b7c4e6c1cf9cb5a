"""Peer planners: the state that they gossip, their request rate to each server, and the gossip of this planner."""

from __future__ import annotations

from typing import NamedTuple

from stackwheel.interface import Action, SendGossip, Settings
from stackwheel.policy import gossip
from stackwheel.policy.servers import Rates, ServerPool, ServerView

PEER_STATE_INTERVALS = 3.0
"""Number of report intervals for which the state of a peer is valid after its last datagram."""

MAX_DATAGRAMS_PER_INTERVAL = 128
"""Maximum number of datagrams that a planner receives per report interval; if peers need more, they send none."""


class PeerState(NamedTuple):
    """State of a peer planner according to all of its datagrams.

    Attributes:
        received_at: time of the last datagram, ms.
        proxies: number of proxies connected to the peer.
        rates: requests per second of these proxies, by server.
    """

    received_at: float
    proxies: int
    rates: Rates


class PeerPlanners:
    """The states of all peer planners that have sent gossip, and the gossip of this planner.

    Attributes:
        gossip_recipients: number of planners that gossip is sent to.
        lifetime_ms: time for which the state of a peer is valid.
        states: states by the index of the peer planner.
    """

    def __init__(self, settings: Settings, pool: ServerPool) -> None:
        self.pool = pool
        self.planner_count = settings.planner_count
        self.gossip_recipients = settings.planner_count - 1 if settings.gossip_enabled else 0
        self.lifetime_ms = PEER_STATE_INTERVALS * settings.report_interval
        self.states: dict[int, PeerState] = {}

    def record(self, sender: int, payload: bytes, now: float) -> None:
        """Add the content of a datagram to the state of its sender; the rates are reset if the sender has no proxies.

        Raises:
            MalformedGossipError: the datagram has an invalid format.
        """
        message = gossip.decode(payload)
        previous = self.states.get(sender)
        rates = {**(previous.rates if previous else {}), **message.rates} if message.proxies else {}
        known_servers = {server: rate for server, rate in rates.items() if server in self.pool.views}
        self.states[sender] = PeerState(now, message.proxies, known_servers)

    def valid_states(self, now: float) -> list[PeerState]:
        """Return the states that are still valid."""
        received_after = now - self.lifetime_ms
        return [state for state in self.states.values() if state.received_at > received_after]

    def peer_rate(self, view: ServerView, now: float) -> float:
        """Return the requests per second that proxies of peer planners send to a server.

        The rate comes from gossip. If the states of some peers are missing, it is at least the server's reported load
        less the load from this planner, or without a report as much per peer as this planner's proxies send.
        """
        valid_states = self.valid_states(now)
        server = view.entry.server
        gossiped = sum(state.rates.get(server, 0.0) for state in valid_states)
        if len(valid_states) >= self.planner_count - 1:
            return gossiped
        own_rate = view.attempt_rate
        total_rate = own_rate * self.planner_count
        if "outstanding" in view.load and view.latency is not None:
            total_rate = view.load["outstanding"] * 1000.0 / max(1.0, view.latency)
        return max(gossiped, total_rate - own_rate)

    def announce(self, proxies: int) -> list[Action]:
        """Return gossip to all peers with the request rate to each server, including servers without traffic.

        Args:
            proxies: number of proxies connected to this planner.
        """
        payloads = gossip.encode(proxies, {server: view.attempt_rate for server, view in self.pool.views.items()})
        if not 0 < self.gossip_recipients * len(payloads) <= MAX_DATAGRAMS_PER_INTERVAL:
            return []
        return [SendGossip(payload) for payload in payloads]
