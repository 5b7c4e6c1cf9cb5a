"""Timeouts, intervals and limits of the planner's network connections; each constant has its unit in its name."""

from __future__ import annotations

# --- Calls to the discovery service and to servers ---

# The discovery protocol requires an empty line on a watch at this interval while the endpoint list does not change.
HEARTBEAT_INTERVAL_MS = 2000.0

# A watch that delivers no bytes for this time is abandoned, well before the discovery protocol assumes that a list
# has been delivered (LINE_TIMEOUT_MS).
WATCH_SILENCE_TIMEOUT_MS = 1.5 * HEARTBEAT_INTERVAL_MS

# Maximum time from the end of one line of a watch to the end of the next. After this time the discovery protocol
# assumes that an endpoint list has been delivered.
LINE_TIMEOUT_MS = 3 * HEARTBEAT_INTERVAL_MS

# Maximum time until the response to a call. The discovery service rejects calls that it cannot answer in time.
RESPONSE_TIMEOUT_MS = HEARTBEAT_INTERVAL_MS

# Maximum time to establish a TCP connection. A host without network connectivity does not refuse connections.
CONNECT_TIMEOUT_MS = 0.5 * HEARTBEAT_INTERVAL_MS

# Minimum mean time between two renewals of watches by all planners of a tier together, because the discovery service
# answers the calls of all planners one after another.
RENEWAL_SPACING_MS = 20.0

# Additional time after an expired timeout to read data that is already in the socket's buffer, because this process
# itself may have been suspended.
STALL_GRACE_MS = 50.0

# Timeout of a health check, which is longer than a server takes to answer or reject one.
HEALTH_CHECK_TIMEOUT_MS = 0.25 * HEARTBEAT_INTERVAL_MS

# Maximum delay before a failed call is repeated, as a share of the deadline for polling the endpoint list.
MAX_RETRY_DELAY_SHARE = 0.4

# Maximum size of a response body, and of one line of a watch.
MAX_BODY_BYTES = 16 << 20

# Maximum size of the response to a health check, whose load report is a single line.
MAX_HEALTH_CHECK_RESPONSE_BYTES = 64 << 10

# --- Accepted connections ---

# Maximum time from accepting a connection to its identification. The line protocol allows 3 s from the client's start
# of connecting and requires at least 1 s.
IDENTIFY_TIMEOUT_MS = 1500.0

# Interval at which connections that exceed IDENTIFY_TIMEOUT_MS are closed.
UNIDENTIFIED_SWEEP_INTERVAL_MS = 250.0

# Minimum idle time before an identified connection may be closed to accept another one. Joined proxies and collectors
# send a message in each report interval.
MIN_IDLE_BEFORE_EVICTION_MS = 10_000.0

# Maximum time from accepting a connection until the bytes that the client sent immediately have been read.
FIRST_READ_GRACE_MS = 50.0

# Same as FIRST_READ_GRACE_MS while many connections arrive at once and one iteration of the event loop takes longer, up
# to 60 ms. It applies only while descriptors are still available, so that no new connection is delayed by it.
BURST_FIRST_READ_GRACE_MS = 4 * FIRST_READ_GRACE_MS

# Maximum size of the messages queued for a client that does not read. The line protocol's limit on data that the
# planner does not read is half of this size.
MAX_UNSENT_BYTES = 256 * 1024

# Maximum size of one read of the response to a call.
READ_BYTES = 64 * 1024

# Maximum size of one read from an accepted connection. asyncio buffers up to twice this size, and one more read.
ACCEPTED_READ_BYTES = 2 * 1024

# Size of the kernel's receive buffer of an accepted connection, which limits the unread data of a client that sends too
# much, and the data that asyncio reads at once. Linux doubles it.
RECEIVE_BUFFER_BYTES = 4 * 1024

# Maximum number of collectors per zone. A new collector may connect before the end of the previous connection is
# detected.
MAX_COLLECTORS_PER_ZONE = 2

# Delay after a failure to accept a connection.
ACCEPT_RETRY_MS = 10.0

# Delay before a background task is restarted after an unexpected error: soon, but without a storm of restarts.
TASK_RESTART_MS = 100.0

# Maximum number of accepted connections that are being set up at the same time.
MAX_CONCURRENT_ACCEPTS = 64

# Number of connections that may arrive within one iteration of the event loop when all proxies connect at once. Up to
# 67 waited when 1,100 connected within a second.
MAX_ARRIVALS_PER_LOOP_ITERATION = 128

# Maximum number of connections that wait to be accepted, as all proxies may connect at once; the usual maximum of the
# kernel.
LISTEN_BACKLOG = 4096

# Number of descriptors that are not available to connections and health checks. The process needs 18: 3 for standard
# streams, 3 for the event loop, 1 for the listener, 1 for gossip, 1 for a file being read, 4 for discovery calls (a
# watch, its successor, the complete list that the successor needs, a fetch), 4 for discovery calls that were cancelled
# but are not closed yet, and 1 for a connection accepted in the same iteration of the event loop as the last health
# check. The others are a margin for inherited descriptors.
RESERVED_DESCRIPTORS = 32

# --- Streams of joined proxies ---

# Maximum deviation of the start of a batch from the report interval, and of the writes that follow it.
BATCH_JITTER_MS = 50.0

# Number of report intervals without a message after which a stream is considered lost. A proxy that receives requests
# reports in each interval.
MAX_SILENT_REPORT_INTERVALS = 4

# --- Memory ---

# Memory of a planner of a small fleet without connections.
BASE_MEMORY_BYTES = 32 << 20

# Memory of an accepted connection: its objects, and what asyncio has read but the connection has not processed.
CONNECTION_MEMORY_BYTES = 28 << 10

# The memory that is left for buffers, divided by this, is the maximum total size of buffered data. The rest is for
# copies, the allocator's fragmentation and the messages that the data is decoded to.
BUFFER_MEMORY_DIVISOR = 3

# Maximum total size of buffered data under a memory limit that leaves less than that.
MIN_BUFFER_LIMIT_BYTES = 1 << 20

# Memory of a queued message in addition to its content.
MESSAGE_OVERHEAD_BYTES = 48


def accept_reserve(capacity: int) -> int:
    """Return how many of `capacity` descriptors unidentified connections leave free for new ones: at most a quarter."""
    return min(MAX_ARRIVALS_PER_LOOP_ITERATION, capacity // 4)


def watch_renewal_interval(planners: int) -> float:
    """Return the maximum time without a change after which a watch is renewed, in ms.

    A faulty watch may continue to send heartbeats without any updates. The call that replaces it has to be answered
    before the discovery protocol assumes that an endpoint list has been delivered (LINE_TIMEOUT_MS), even if the call
    takes as long as its timeouts allow. In a large tier the interval is longer, because all planners together renew at
    most one watch per RENEWAL_SPACING_MS.
    """
    return max(LINE_TIMEOUT_MS - CONNECT_TIMEOUT_MS - RESPONSE_TIMEOUT_MS, planners * RENEWAL_SPACING_MS)


def stream_silence_timeout(report_interval: float, queue_drain_time: float, transit_time: float) -> float:
    """Return the time for which a joined proxy may send nothing while it has a nonce to acknowledge, in ms.

    Args:
        report_interval: time between two reports of a proxy, ms.
        queue_drain_time: maximum time that an acknowledgement waits in a full queue, ms.
        transit_time: transit time of an update to the proxy, and of its acknowledgement back, ms.
    """
    return MAX_SILENT_REPORT_INTERVALS * report_interval + queue_drain_time + 2 * transit_time


def buffer_limit_bytes(memory_mb: float, connections: int) -> int:
    """Return the maximum total size of the partial lines and outgoing mailboxes of all connections, in bytes.

    Args:
        memory_mb: maximum memory of the process, in MB.
        connections: number of connections to leave memory for.
    """
    available = int(memory_mb * (1 << 20)) - BASE_MEMORY_BYTES - connections * CONNECTION_MEMORY_BYTES
    return max(MIN_BUFFER_LIMIT_BYTES, available // BUFFER_MEMORY_DIVISOR)
