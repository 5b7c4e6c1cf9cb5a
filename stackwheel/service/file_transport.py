"""What the operators' file turns on beside the sockets; imported only where such a file is named."""

from __future__ import annotations

import random
from pathlib import Path

from stackwheel.config_language.errors import OperatorsFileError
from stackwheel.config_language.load import load
from stackwheel.config_language.schema import FilesRecord
from stackwheel.files.codec import NO_KEYS
from stackwheel.files.disk import SystemDisk
from stackwheel.files.keys import KeyFileError, load_keys
from stackwheel.files.ledger import Ledger, Terms
from stackwheel.files.publisher import FilePublisher, Folders
from stackwheel.files.push import Pace, Pusher
from stackwheel.service.ports import PlannerContext, ProxyTransport


class ExtrasError(OSError):
    """The operators' file can't be used; a start ends with this one line."""


def build(context: PlannerContext, path: str) -> list[ProxyTransport]:
    """ExtrasError where the file, or one that it names, can't be used."""
    try:
        found = load(Path(path)).records
        return [file_desk(context, found.files)] if found.files.enabled else []
    except (OperatorsFileError, KeyFileError) as error:
        raise ExtrasError(str(error)) from None


def file_desk(context: PlannerContext, files: FilesRecord) -> FilePublisher:
    config = context.config
    keys = load_keys(Path(files.key_file)) if files.key_file else NO_KEYS
    ledger = Ledger(
        config.name,
        config.names,
        config.settings.proxy_count,
        Terms(files.lifetime_ms, files.deltas_per_full_file, config.settings.report_interval),
        context.endpoints.server_ids.name,
        random.Random(config.seed).getrandbits(48),
    )
    pace = Pace(files.pace.max_files, files.pace.window_ms, files.pace.min_interval_ms)
    pusher = Pusher(pace, config.seed, files.max_concurrent_writes)
    return FilePublisher(
        ledger,
        pusher,
        Folders(files.output_folder, files.reports_folder),
        SystemDisk(),
        context.clock.now,
        context.post,
        keys,
    )
