"""Transport times and bounds, in ms, bytes or connections, each with its source. No decisions."""

from __future__ import annotations

BEAT = 2000.0  # the protocol: a watch writes an empty line so often while nothing changes
SILENCE = 1.5 * BEAT  # a quiet watch has gone; what it has to tell counts as told after 6 s
LINE = 3 * BEAT  # for a whole line of a watch: what it tells counts as told by then, whether it has come or not
ANSWER = BEAT  # for a call's answer: discovery turns away what has waited too long before that
DIAL = 0.5 * BEAT  # a machine that is cut off gives no sign
GRACE = 50.0  # for bytes that lie ready when a time is up: this process may itself have stood still
PROBE = 0.25 * BEAT  # over the time within which a server answers a probe or turns it away
IDENTIFY = 1500.0  # to say what it is, from accepting; due are 3 s from connecting, 1 s must pass
SWEEP = 250.0  # how often those who have not said it are looked through
QUIET = 10_000.0  # a joined peer says something each report cycle; one so quiet goes before a new one waits
YOUNG = 50.0  # what came along with a connection has been read by then
SETTLED = 4 * YOUNG  # the same though turns of the loop take up to 60 ms in a crowd; nobody waits yet
UNSENT_MOST = 256 * 1024  # bytes a peer may leave unread; the protocol's own limit towards us is half of it
READ_BYTES = 64 * 1024
RECEIVE_BUFFER = 32 * 1024  # in the kernel, of a connection: so much of a flood waits here at once
COLLECTORS_MOST = 2  # of a zone: a new one comes before the old one is seen to end
BODY_MOST = 16 << 20  # bytes of an answer or of one line of a watch
PROBE_MOST = 64 << 10  # bytes of a probe's answer: a load report is one line
AGAIN_MOST = 0.4  # of the time within which discovery has to be asked: so late a call that failed is repeated
ACCEPT_AGAIN = 10.0  # after a connection that could not be accepted
FAULT_AGAIN = 100.0  # after a defect of ours in the listener or the like: soon, but no storm
ACCEPT_BURST = 64  # connections set up at once
ARRIVALS = 128  # connections within one turn of the loop: up to 67 were seen to wait, where 1,100 came in a second
LISTEN_BACKLOG = 4096  # connections that wait to be accepted: every proxy may come at once; the kernel's usual most
# Descriptors that connections and probes leave to the rest of the process, each counted until it is closed: 3 standard
# streams, 3 of the loop, 1 listener, 1 datagram socket, 1 file being read, 4 calls for the list (a watch, its successor
# with a whole list, a fetch) and as many just given up, 1 connection accepted in the turn in which a probe took the
# last place: 18. The others are for what the process inherits.
KEPT_SOCKETS = 32
JITTER = 50.0  # by which batches come earlier or later than the cycle says, and writes after them
SILENT_CYCLES = 4  # of reports: a proxy with requests says something each cycle


def accept_reserve(capacity: int) -> int:
    """Of the connections that may be held, how many unidentified ones leave free: at most a quarter."""
    return min(ARRIVALS, capacity // 4)


def renewal(planners: int) -> float:
    """How long a watch may tell no change before it is renewed, in case its updates have stopped while it beats.

    No sooner than what it has to tell counts as told, and all planners together one call a beat at most.
    """
    return max(LINE, planners * BEAT)


def stream_silence(cycle: float, full_queue: float, transit: float) -> float:
    """How long a joined proxy may say nothing and leave a mark unanswered; that may wait in a full queue."""
    return SILENT_CYCLES * cycle + full_queue + 2 * transit


def waiting_most(memory_mb: float) -> int:
    """Bytes that may wait in half lines and mailboxes of all peers; the program itself takes 17 MB."""
    return int(memory_mb * (1 << 20)) // 4
