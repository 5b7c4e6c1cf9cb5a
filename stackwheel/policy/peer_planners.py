"""Peer planners: the states that they send as gossip, their request rate to each server, and this planner's gossip."""

from __future__ import annotations

import math
from typing import NamedTuple

from stackwheel.interface import Action, SendGossip, Settings
from stackwheel.policy import gossip
from stackwheel.policy.plausibility import limit_figure, rate_allowance
from stackwheel.policy.servers import Rates, ServerPool, ServerView

PEER_STATE_INTERVALS = 3.0
"""Number of report intervals for which the state of a peer is valid after its last datagram."""

MAX_DATAGRAMS_PER_INTERVAL = 128
"""Maximum number of gossip datagrams per planner and report interval; a planner that needs more sends none.

The limit bounds what one planner has to read from its peers.
"""


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
        gossip_recipients: number of planners that gossip is sent to; 0 if gossip is disabled.
        lifetime_ms: time for which the state of a peer is valid.
        states: states by the index of the peer planner.
        cached_even_share: result of `even_share` at the time `even_share_at` (ms), which many servers share.
    """

    def __init__(self, settings: Settings, pool: ServerPool) -> None:
        self.pool = pool
        self.planner_count = settings.planner_count
        self.gossip_recipients = settings.planner_count - 1 if settings.gossip_enabled else 0
        self.lifetime_ms = PEER_STATE_INTERVALS * settings.report_interval
        self.rate_allowance = rate_allowance(settings.report_interval)
        self.states: dict[int, PeerState] = {}
        self.cached_even_share = 0.0
        self.even_share_at = -math.inf

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

        The rate comes from gossip. If the states of some peers are missing, the rate is at least the total rate of the
        server less the rate of this planner's proxies. The total rate is estimated from the outstanding requests that
        the server reports, and limited to what is plausible. Without a report, each planner is assumed to cause the
        same rate as this planner.
        """
        valid_states = self.valid_states(now)
        server = view.entry.server
        gossiped = sum(state.rates.get(server, 0.0) for state in valid_states)
        if len(valid_states) >= self.planner_count - 1:
            return gossiped
        own_rate = view.attempt_rate
        total_rate = own_rate * self.planner_count
        if "outstanding" in view.load and view.latency is not None:
            estimated_rate = view.load["outstanding"] * 1000.0 / max(1.0, view.latency)
            expected_rate = max(own_rate, self.even_share(now)) * self.planner_count
            total_rate = limit_figure(estimated_rate, expected_rate, self.rate_allowance)
        return max(gossiped, total_rate - own_rate)

    def even_share(self, now: float) -> float:
        """Return the attempts per second of this planner's proxies, divided by the number of servers."""
        if self.even_share_at != now:
            views = self.pool.views.values()
            self.cached_even_share = sum(view.attempt_rate for view in views) / max(1, len(views))
            self.even_share_at = now
        return self.cached_even_share

    def announce(self, proxies: int) -> list[Action]:
        """Return the actions that send the request rate to each server, also to those without traffic, to all peers.

        Args:
            proxies: number of proxies connected to this planner.
        """
        payloads = gossip.encode(proxies, {server: view.attempt_rate for server, view in self.pool.views.items()})
        if not 0 < self.gossip_recipients * len(payloads) <= MAX_DATAGRAMS_PER_INTERVAL:
            return []
        return [SendGossip(payload) for payload in payloads]
