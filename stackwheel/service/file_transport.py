"""Builds the file transport if the operators' file enables it; imported only if such a file is configured."""

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
from stackwheel.files.publisher import FilePublisher, PublisherFolders
from stackwheel.files.publisher_state import PublisherState
from stackwheel.files.push_scheduler import PushLimits, PushScheduler
from stackwheel.service.ports import PlannerContext, ProxyTransport, TransportSetupError

INCARNATION_BITS = 48


def build(context: PlannerContext, path: str) -> list[ProxyTransport]:
    """Build the transports that the operators' file at `path` enables.

    Raises:
        TransportSetupError: the operators' file or its key file is invalid or cannot be read.
    """
    try:
        records = load(Path(path)).records
        return [build_publisher(context, records.files)] if records.files.enabled else []
    except (OperatorsFileError, KeyFileError) as error:
        raise TransportSetupError(str(error)) from error


def build_publisher(context: PlannerContext, files: FilesRecord) -> FilePublisher:
    """Build the file publisher from the operators' file; raises KeyFileError if the key file is invalid."""
    config = context.config
    keys = load_keys(Path(files.key_file)) if files.key_file else NO_KEYS
    state = PublisherState(
        config.name,
        config.names,
        config.settings.proxy_count,
        PublisherSettings(files.lifetime_ms, files.deltas_per_full_file, config.settings.report_interval),
        context.endpoints.server_ids.name,
        random.Random(config.seed).getrandbits(INCARNATION_BITS),
    )
    limits = PushLimits(files.pace.max_files, files.pace.window_ms, files.pace.min_interval_ms)
    return FilePublisher(
        state,
        PushScheduler(limits, config.seed, files.max_concurrent_writes),
        PublisherFolders(files.output_folder, files.reports_folder),
        FileEnvironment(SystemDisk(), context.clock.now),
        context.post,
        keys,
    )
