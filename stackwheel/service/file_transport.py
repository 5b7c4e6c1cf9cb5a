"""Builds the file transport where the operators' file turns it on; imported only where such a file is named."""

from __future__ import annotations

import random
from pathlib import Path

from stackwheel.config_language.load import OperatorsError, load
from stackwheel.config_language.schema import Files
from stackwheel.files.codec import NO_KEYS
from stackwheel.files.disk import SystemDisk
from stackwheel.files.keys import KeyFileError, load_keys
from stackwheel.files.ledger import Ledger, Terms
from stackwheel.files.publisher import FilePublisher, Folders
from stackwheel.files.push import Pace, Pusher
from stackwheel.service.ports import PlannerContext, ProxyTransport, TransportSetupError

INCARNATION_BITS = 48


def build(context: PlannerContext, path: str) -> list[ProxyTransport]:
    """The transports that the operators' file turns on.

    Raises:
        TransportSetupError: the file, or one that it names, can't be used.
    """
    try:
        records = load(Path(path)).records
        return [build_publisher(context, records.files)] if records.files.on else []
    except (OperatorsError, KeyFileError) as error:
        raise TransportSetupError(str(error)) from error


def build_publisher(context: PlannerContext, files: Files) -> FilePublisher:
    """The file publisher as the operators' file describes it; KeyFileError where its keys can't be used."""
    config = context.config
    keys = load_keys(Path(files.keys)) if files.keys else NO_KEYS
    terms = Terms(files.life, files.whole_every, config.settings.report_interval)
    ledger = Ledger(
        config.name,
        config.names,
        config.settings.proxy_count,
        terms,
        context.endpoints.server_ids.name,
        random.Random(config.seed).getrandbits(INCARNATION_BITS),
    )
    pace = Pace(files.pace.cap, files.pace.span, files.pace.least)
    pusher = Pusher(pace, config.seed, files.under_way)
    folders = Folders(files.out, files.answers)
    return FilePublisher(ledger, pusher, folders, SystemDisk(), context.clock.now, context.post, keys)
