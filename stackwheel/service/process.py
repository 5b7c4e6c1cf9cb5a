"""The planner as a process: signals, logging, one run until SIGTERM."""

from __future__ import annotations

import os
import signal
import sys
from types import FrameType
from typing import Final

EXIT_CANNOT_START: Final = 2
LOG_LEVEL_VARIABLE = "STACKWHEEL_LOG"


def stop(_signal: int, _frame: FrameType | None) -> None:
    """Exit at once. There is nothing to save: proxies keep their tables, and a new start begins from nothing."""
    os._exit(0)


def main() -> int:
    """Run one planner, configured by ROUTER_CONFIG. Returns 2 if it can't start; SIGTERM ends the process with 0."""
    signal.signal(signal.SIGTERM, stop)  # before anything that takes time
    signal.signal(signal.SIGINT, stop)
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})  # it waits until there is something to reload
    import asyncio

    from stackwheel.service.app import serve
    from stackwheel.service.config import ConfigError, load_config
    from stackwheel.service.logging_setup import start_logging
    from stackwheel.service.ports import TransportSetupError

    try:
        config = load_config()
        start_logging(config.name, os.environ.get(LOG_LEVEL_VARIABLE, "INFO"))
        asyncio.run(serve(config))
    except (ConfigError, TransportSetupError, OSError) as error:
        print(f"stackwheel: {error}", file=sys.stderr)
        return EXIT_CANNOT_START
    return 0
