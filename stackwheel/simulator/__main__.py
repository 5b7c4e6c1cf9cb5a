"""`python -m stackwheel.simulator`: reads batches from standard input and writes replies to standard output."""

from __future__ import annotations

import sys
from typing import BinaryIO

from stackwheel.simulator.errors import WireError
from stackwheel.simulator.framing import read_frame
from stackwheel.simulator.host import Host


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Write one reply for each batch until the input ends."""
    host = Host()
    while (frame := read_frame(source)) is not None:
        sink.write(host.reply_to(frame))
        sink.flush()


def main() -> int:
    """Serve the simulator on standard input and output; returns the exit status, 1 if the input is malformed."""
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except WireError as error:
        print(f"stackwheel.simulator: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
