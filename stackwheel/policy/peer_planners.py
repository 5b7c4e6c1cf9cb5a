"""Other planners: what they gossip, the rate they send to a server, and what this planner gossips."""

from __future__ import annotations

from typing import NamedTuple

from stackwheel.interface import Action, SendGossip, Settings
from stackwheel.policy import gossip
from stackwheel.policy.servers import Rates, ServerPool, ServerView

PEER_STATE_INTERVALS = 3.0
"""Report intervals for which a peer's figures count after its last datagram."""

MAX_DATAGRAMS_PER_INTERVAL = 128
"""Read by one planner in a report interval; where its peers would send more, nobody gossips."""


class PeerState(NamedTuple):
    """What one peer reported in its datagrams so far."""

    received_at: float
    proxies: int
    rates: Rates


class PeerPlanners:
    """The figures of all peers that have sent gossip."""

    def __init__(self, settings: Settings, pool: ServerPool) -> None:
        self.pool = pool
        self.planner_count = settings.planner_count
        self.gossip_recipients = settings.planner_count - 1 if settings.gossip_enabled else 0
        self.lifetime_ms = PEER_STATE_INTERVALS * settings.report_interval
        self.states: dict[int, PeerState] = {}

    def record(self, sender: int, payload: bytes, now: float) -> None:
        """Add a datagram to its sender's earlier figures; a peer without proxies sends nothing anywhere.

        Raises:
            MalformedGossipError: it is no planner's datagram.
        """
        message = gossip.decode(payload)
        known = self.states.get(sender)
        rates = {**(known.rates if known else {}), **message.rates} if message.proxies else {}
        known_servers = {server: rate for server, rate in rates.items() if server in self.pool.views}
        self.states[sender] = PeerState(now, message.proxies, known_servers)

    def valid_states(self, now: float) -> list[PeerState]:
        """The figures that still count."""
        oldest = now - self.lifetime_ms
        return [figures for figures in self.states.values() if figures.received_at > oldest]

    def peer_rate(self, view: ServerView, now: float) -> float:
        """Requests a second that other planners' proxies send to a server.

        From gossip; where some peers' figures are missing, at least what the server's own load figures leave for them,
        or as much for each planner as our proxies send.
        """
        fresh = self.valid_states(now)
        server = view.entry.server
        gossiped = sum(figures.rates.get(server, 0.0) for figures in fresh)
        if len(fresh) >= self.planner_count - 1:
            return gossiped
        ours = view.attempt_rate
        total = ours * self.planner_count
        if "outstanding" in view.load and view.latency is not None:
            total = view.load["outstanding"] * 1000.0 / max(1.0, view.latency)
        return max(gossiped, total - ours)

    def announce(self, proxies: int) -> list[Action]:
        """Gossip to all peers the rate that we send to each server, those without traffic too."""
        payloads = gossip.encode(proxies, {server: view.attempt_rate for server, view in self.pool.views.items()})
        if not 0 < self.gossip_recipients * len(payloads) <= MAX_DATAGRAMS_PER_INTERVAL:
            return []
        return [SendGossip(payload) for payload in payloads]
