"""`python -m stackwheel.simulator`: read batches on standard input, write replies on standard output."""

from __future__ import annotations

import sys
from typing import BinaryIO

from stackwheel.simulator.host import Host
from stackwheel.simulator.wire import WireError, read_frame


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    host = Host()
    while (frame := read_frame(source)) is not None:
        sink.write(host.answer(*frame))
        sink.flush()


def main() -> int:
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except WireError as error:
        print(f"stackwheel.simulator: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
