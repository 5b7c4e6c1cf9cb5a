"""What the operators' file turns on beside the sockets; imported only where such a file is named."""

from __future__ import annotations

import random
from pathlib import Path

from stackwheel.config_language.errors import OperatorsFileError
from stackwheel.config_language.load import load
from stackwheel.config_language.schema import FilesRecord
from stackwheel.files.codec import NO_KEYS
from stackwheel.files.disk import SystemDisk
from stackwheel.files.environment import FileEnvironment
from stackwheel.files.errors import KeyFileError
from stackwheel.files.file_builder import PublisherSettings
from stackwheel.files.key_file import load_keys
from stackwheel.files.publisher import FilePublisher, Folders
from stackwheel.files.publisher_state import PublisherState
from stackwheel.files.push_scheduler import PushLimits, PushScheduler
from stackwheel.service.ports import PlannerContext, ProxyTransport


class ExtrasError(OSError):
    """The operators' file can't be used; a start ends with this one line."""


def build(context: PlannerContext, path: str) -> list[ProxyTransport]:
    """ExtrasError where the file, or one that it names, can't be used."""
    try:
        found = load(Path(path)).records
        return [file_publisher(context, found.files)] if found.files.enabled else []
    except (OperatorsFileError, KeyFileError) as error:
        raise ExtrasError(str(error)) from None


def file_publisher(context: PlannerContext, files: FilesRecord) -> FilePublisher:
    config = context.config
    keys = load_keys(Path(files.key_file)) if files.key_file else NO_KEYS
    state = PublisherState(
        config.name,
        config.names,
        config.settings.proxy_count,
        PublisherSettings(files.lifetime_ms, files.deltas_per_full_file, config.settings.report_interval),
        context.endpoints.server_ids.name,
        random.Random(config.seed).getrandbits(48),
    )
    limits = PushLimits(files.pace.max_files, files.pace.window_ms, files.pace.min_interval_ms)
    scheduler = PushScheduler(limits, config.seed, files.max_concurrent_writes)
    return FilePublisher(
        state,
        scheduler,
        Folders(files.output_folder, files.reports_folder),
        FileEnvironment(SystemDisk(), context.clock.now),
        context.post,
        keys,
    )
