"""Checks of the load that joined proxies send, according to their tables, to servers that are warming up."""

from __future__ import annotations

from collections.abc import Sequence

from stackwheel.trials.channel import UpdateChannels
from stackwheel.trials.context import SimulationContext
from stackwheel.trials.fleet import ServerFleet
from stackwheel.trials.proxies import Proxy
from stackwheel.trials.servers import Server

CHECK_INTERVAL_S = 0.25
UPDATE_ALLOWANCE_MS = 300.0  # Time allowed in addition to the transit time of an update.


class WarmupMonitor:
    """Passes the load of servers in their slow start to the rule checks."""

    def __init__(
        self, context: SimulationContext, fleet: ServerFleet, channels: UpdateChannels, proxies: Sequence[Proxy]
    ) -> None:
        self.context = context
        self.fleet = fleet
        self.channels = channels
        self.proxies = proxies

    def check(self) -> None:
        """Pass the load of each warming server to the rule checks, and schedule the next check."""
        checker = self.context.checker
        now = self.context.loop.now
        for name, server in list(self.fleet.warming_up.items()):
            if now >= server.warm_at() or not server.alive or server.overloaded:
                del self.fleet.warming_up[name]
                checker.record_warmup_end(name)
                continue
            load = sum(self.load_of_proxy(proxy, server, now) for proxy in self.proxies)
            checker.warming_server_load(name, load, server.capacity(now), now * 1000.0)
        self.context.schedule_after(CHECK_INTERVAL_S, self.check)

    def load_of_proxy(self, proxy: Proxy, server: Server, now: float) -> float:
        """Return the load from a proxy, in ms of work per second; 0 unless its planner could have limited the load."""
        if not self.can_have_limited_load(proxy, server, now):
            return 0.0
        mode = self.context.shape.admission_mode
        avoided = proxy.forwarder.avoided_servers(now) if proxy.forwarder.avoided_until else ()
        work = 0.0
        for class_name, request_class in zip(proxy.class_names, self.context.shape.classes, strict=True):
            table = proxy.state.class_tables[class_name]
            if server.name not in table.lines or server.name in proxy.state.ejected:
                continue
            share = proxy.state.traffic_shares(class_name, avoided).get(server.name, 0.0)
            rate = proxy.rate() * request_class.share
            if table.level is not None and mode != "off":
                admitted, _ = table.level
                rate = min(rate, admitted * (rate if mode == "share" else 1.0))
            work += share * rate * request_class.work
        return work

    def can_have_limited_load(self, proxy: Proxy, server: Server, now: float) -> bool:
        """Return whether the proxy's planner has known the server long enough for an update to have arrived."""
        checker = self.context.checker
        state = checker.proxies[proxy.number]
        view = checker.planners.get(state.planner) if state.planner is not None else None
        if view is None or not proxy.machine.alive:
            return False
        endpoint = view.listed.get(server.name)
        if endpoint is None or endpoint.warm_at != server.warm_at() * 1000.0:
            return False
        since = max(view.listed_since[server.name], state.joined_at, view.limits_from, state.limits_from)
        return now * 1000.0 >= since + UPDATE_ALLOWANCE_MS + self.channels.transit_allowance_ms()
