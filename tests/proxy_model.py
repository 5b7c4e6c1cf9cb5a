"""What a proxy has after the lines of its stream, for tests of whoever writes them.

The tables are those of `stackwheel/forwarder`, which shares nothing with the encoder and the updates under test but
the types of the interface; its own tests hold it to the protocol line by line.
"""

from __future__ import annotations

from stackwheel.forwarder.state import ForwarderState
from stackwheel.forwarder.updates import ConfigUpdateReader
from stackwheel.interface import AdmissionLevel


class ProxyTables:
    """The tables of one proxy and what each update cost.

    Attributes:
        classes: the request classes.
        servers: names of the servers that discovery has listed; a test may add to it.
        costs: lines of each update applied.
    """

    def __init__(self, classes: tuple[str, ...], servers: set[str]) -> None:
        self.classes = classes
        self.servers = servers
        self.costs: list[int] = []
        self._reader = ConfigUpdateReader()
        self._state = ForwarderState(classes, servers)

    def apply_line(self, line: str) -> list[int]:
        """Read a line of the stream; the nonces to acknowledge once it completes an update.

        Raises:
            InvalidUpdateError: a proxy would reset the stream.
            AssertionError: a part names a server twice, which costs lines for nothing.
        """
        update = self._reader.feed_line(line)
        if update is None:
            return []
        for part in update.parts:
            servers = [name for name, _ in part.lines]
            assert len(set(servers)) == len(servers), f"a server twice in one part: {line!r}"
        self._state.apply(update)
        self.costs.append(update.cost())
        return list(update.nonces())

    @property
    def lines(self) -> dict[str, dict[str, float]]:
        """Weights by class and server."""
        return {name: table.lines for name, table in self._state.class_tables.items()}

    @property
    def levels(self) -> dict[str, AdmissionLevel]:
        """Admission levels of the classes that have one."""
        return {name: table.level for name, table in self._state.class_tables.items() if table.level is not None}

    @property
    def ejected(self) -> set[str]:
        """Servers that the proxy avoids."""
        return set(self._state.ejected)

    def available_lines(self, name: str) -> dict[str, float]:
        """The lines of a class that the proxy may use."""
        return {server: weight for server, weight in self.lines[name].items() if server not in self.ejected}
