"""Entry point of the planner process: installs signal handlers, starts logging and runs the planner until SIGTERM."""

from __future__ import annotations

import os
import signal
import sys
from types import FrameType
from typing import Final

EXIT_CANNOT_START: Final = 2
LOG_LEVEL_VARIABLE = "STACKWHEEL_LOG"


def exit_immediately(_signal: int, _frame: FrameType | None) -> None:
    """End the process with exit code 0; there is no state to save, because proxies keep their tables."""
    os._exit(0)


def main() -> int:
    """Run the planner that ROUTER_CONFIG configures; returns exit code 2 if it cannot start.

    SIGTERM and SIGINT end the process with exit code 0.
    """
    signal.signal(signal.SIGTERM, exit_immediately)  # before the slow imports
    signal.signal(signal.SIGINT, exit_immediately)
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})  # pending until the reload handler is installed
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
