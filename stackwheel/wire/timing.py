"""Times and bounds of the transport, each with its unit in the name and its source. No decisions."""

from __future__ import annotations

# --- Calls and watches of the discovery service, and calls in general ---

# The protocol: a watch writes an empty line this often while nothing changes.
HEARTBEAT_INTERVAL_MS = 2000.0

# A watch that is quiet for longer is lost: what it would deliver counts as known after 6 s.
WATCH_SILENCE_TIMEOUT_MS = 1.5 * HEARTBEAT_INTERVAL_MS

# For one line of a watch from its first byte to its end: by then its content counts as known, received or not.
LINE_TIMEOUT_MS = 3 * HEARTBEAT_INTERVAL_MS

# For the answer to a call: discovery rejects what has waited too long before that.
RESPONSE_TIMEOUT_MS = HEARTBEAT_INTERVAL_MS

# For a TCP connection: a machine that is cut off gives no sign.
CONNECT_TIMEOUT_MS = 0.5 * HEARTBEAT_INTERVAL_MS

# For bytes that are ready to be read when a timeout expires: this process itself may have been stalled.
STALL_GRACE_MS = 50.0

# For a health check: longer than the time within which a server answers or rejects one.
HEALTH_CHECK_TIMEOUT_MS = 0.25 * HEARTBEAT_INTERVAL_MS

# Share of the list poll deadline: a failed call is repeated after that much of it at the latest.
MAX_RETRY_DELAY_RATIO = 0.4

# Of an answer's body, or of one line of a watch.
MAX_BODY_BYTES = 16 << 20

# Of the answer to a health check: a load report is one line.
MAX_HEALTH_CHECK_BYTES = 64 << 10

# --- Accepted connections ---

# For a new connection to identify itself, from its acceptance: the protocol grants 3 s from connecting, at least 1 s.
IDENTIFY_TIMEOUT_MS = 1500.0

# Between two searches for connections that have not identified themselves in time.
UNIDENTIFIED_SWEEP_INTERVAL_MS = 250.0

# A joined proxy or collector sends something each report interval; one that is idle for longer is closed before a new
# connection has to wait.
IDLE_CONNECTION_MS = 10_000.0

# Bytes that arrived together with a connection have been read by then.
FIRST_READ_MS = 50.0

# The same while many connections arrive at once and a turn of the event loop takes up to 60 ms. It delays nobody: it
# applies while descriptors are still free.
BURST_FIRST_READ_MS = 4 * FIRST_READ_MS

# That a client may leave unread; the protocol's own limit towards the planner is half of it.
MAX_UNSENT_BYTES = 256 * 1024

# One read of a connection.
READ_BYTES = 64 * 1024

# The kernel's receive buffer of a connection: this much of a flood waits there at once.
RECEIVE_BUFFER_BYTES = 32 * 1024

# Connections: a new collector connects before the old one is seen to end.
MAX_COLLECTORS_PER_ZONE = 2

# Before the listener accepts again after a connection that could not be accepted.
ACCEPT_RETRY_MS = 10.0

# Before a task of the transport starts again after a defect of its own: soon, but no storm.
TASK_RESTART_MS = 100.0

# Connections that are set up at once.
MAX_CONCURRENT_ACCEPTS = 64

# Connections within one turn of the event loop: up to 67 were seen to wait, where 1,100 came in a second.
MAX_ARRIVALS_PER_TURN = 128

# Connections that wait to be accepted: every proxy may connect at once. The kernel's usual maximum.
LISTEN_BACKLOG = 4096

# Descriptors that connections and health checks leave to the rest of the process, each counted until it is closed:
# 3 standard streams, 3 of the event loop, 1 listener, 1 datagram socket, 1 file being read, 4 calls for the endpoint
# list (a watch, its successor with a complete list, a fetch) and as many that have just been abandoned, 1 connection
# accepted in the turn in which a health check took the last place: 18. The others are for what the process inherits.
RESERVED_DESCRIPTORS = 32

# --- Streams of joined proxies ---

# By which a batch starts earlier or later than the report interval says, and by which writes follow it.
BATCH_JITTER_MS = 50.0

# Report intervals without a message after which a stream is lost: a proxy with requests reports in each.
MAX_SILENT_REPORT_INTERVALS = 4

# --- Memory ---

# The part of the memory limit that buffered messages may take, as its divisor; the program itself takes 17 MB.
BUFFER_MEMORY_DIVISOR = 4


def accept_reserve(capacity: int) -> int:
    """Of the connections that may be open, how many unidentified ones leave free: at most a quarter."""
    return min(MAX_ARRIVALS_PER_TURN, capacity // 4)


def watch_renewal_interval(planners: int) -> float:
    """How long, in ms, a watch may deliver no change before it is renewed.

    Its updates may have stopped while its heartbeat goes on. A watch is renewed no sooner than its content counts as
    known, and all planners together make at most one such call a heartbeat.
    """
    return max(LINE_TIMEOUT_MS, planners * HEARTBEAT_INTERVAL_MS)


def stream_silence_timeout(report_interval: float, queue_drain_time: float, transit_time: float) -> float:
    """How long, in ms, a joined proxy may send nothing and leave a nonce unacknowledged.

    Args:
        report_interval: ms between two reports of a proxy.
        queue_drain_time: ms that an acknowledgement may wait in a full queue.
        transit_time: ms that an update takes to the proxy, and its acknowledgement back.
    """
    return MAX_SILENT_REPORT_INTERVALS * report_interval + queue_drain_time + 2 * transit_time


def buffer_limit_bytes(memory_mb: float) -> int:
    """Bytes that the partial lines and mailboxes of all connections may take together."""
    return int(memory_mb * (1 << 20)) // BUFFER_MEMORY_DIVISOR
