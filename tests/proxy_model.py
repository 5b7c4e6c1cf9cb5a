"""Model of a proxy that applies the lines of its stream, for tests of the components that write these lines.

It uses the tables of `stackwheel/forwarder`, which shares only the types of the interface with the encoder and the
table updates under test, and has its own tests.
"""

from __future__ import annotations

from stackwheel.forwarder.state import ForwarderState
from stackwheel.forwarder.updates import ConfigUpdateReader
from stackwheel.interface import AdmissionLevel


class ProxyTables:
    """The tables of one proxy, and the cost of each applied update.

    Attributes:
        classes: names of the request classes.
        servers: names of the servers that discovery has listed; tests may add names.
        costs: number of lines of each applied update.
    """

    def __init__(self, classes: tuple[str, ...], servers: set[str]) -> None:
        self.classes = classes
        self.servers = servers
        self.costs: list[int] = []
        self._reader = ConfigUpdateReader()
        self._state = ForwarderState(classes, servers)

    def apply_line(self, line: str) -> list[int]:
        """Parse a line of the stream, and apply the update if the line completes one.

        Returns:
            The nonces to acknowledge.

        Raises:
            InvalidUpdateError: the update is invalid, so that a proxy would reset the stream.
            AssertionError: a part contains a server twice, which wastes lines of the channel.
        """
        update = self._reader.feed_line(line)
        if update is None:
            return []
        for part in update.parts:
            servers = [name for name, _ in part.lines]
            assert len(set(servers)) == len(servers), f"repeated server in one part: {line!r}"
        self._state.apply(update)
        self.costs.append(update.cost())
        return list(update.nonces())

    @property
    def lines(self) -> dict[str, dict[str, float]]:
        """Return the weights by class and server."""
        return {name: table.lines for name, table in self._state.class_tables.items()}

    @property
    def levels(self) -> dict[str, AdmissionLevel]:
        """Return the admission levels of the classes that have one."""
        return {name: table.level for name, table in self._state.class_tables.items() if table.level is not None}

    @property
    def ejected(self) -> set[str]:
        """Return the ejected servers."""
        return set(self._state.ejected)

    def available_lines(self, name: str) -> dict[str, float]:
        """Return the lines of a class without ejected servers."""
        return {server: weight for server, weight in self.lines[name].items() if server not in self.ejected}
