"""Codes and names of the records of the simulator protocol.

Only this module contains the simulator's record numbers and names. Codes below 64 are events, which are sent to a
planner, and codes from 64 on are actions of a planner. All fields are big-endian.
"""

from __future__ import annotations

from enum import IntEnum

from stackwheel.interface import UpdateKind


class EventCode(IntEnum):
    """Codes of the records in a batch."""

    CREATE_PLANNER = 1
    ENDPOINT_UPDATE = 2
    TIMER_FIRED = 3
    HEALTH_CHECK_RESULT = 4
    GOSSIP_RECEIVED = 5
    STOP_PLANNER = 6
    PROXY_JOINED = 7
    PROXY_LEFT = 8
    ACKNOWLEDGED = 9
    LOAD_REPORT = 10
    DEMAND_REPORT = 11
    KEY_RANGE_DEMAND = 12
    KEY_RANGE_GRANTED = 13
    KEY_RANGE_WEIGHT = 14
    ENDPOINT_PAGE = 15


class ActionCode(IntEnum):
    """Codes of the records in a reply."""

    SET_TIMER = 65
    START_HEALTH_CHECK = 66
    SEND_GOSSIP = 67
    LOG = 68
    FAULT = 69
    WATCH_ENDPOINTS = 70
    FETCH_ENDPOINTS = 71
    SET_WEIGHT = 72
    CLEAR_TABLE = 73
    SET_EJECTION = 74
    ASSIGN_TABLE = 75
    SET_ADMISSION = 76
    ATTACH_NONCE = 77


EVENT_NAMES: dict[int, str] = {
    EventCode.CREATE_PLANNER: "create",
    EventCode.ENDPOINT_UPDATE: "directory_update",
    EventCode.TIMER_FIRED: "reminder",
    EventCode.HEALTH_CHECK_RESULT: "probed",
    EventCode.GOSSIP_RECEIVED: "whisper",
    EventCode.STOP_PLANNER: "down",
    EventCode.PROXY_JOINED: "joined",
    EventCode.PROXY_LEFT: "disconnected",
    EventCode.ACKNOWLEDGED: "installed",
    EventCode.LOAD_REPORT: "digest",
    EventCode.DEMAND_REPORT: "usage",
    EventCode.KEY_RANGE_DEMAND: "weight_seen",
    EventCode.KEY_RANGE_GRANTED: "tenure",
    EventCode.KEY_RANGE_WEIGHT: "held",
    EventCode.ENDPOINT_PAGE: "ledger",
}
"""The simulator's name for each event, by code, as used in the simulator's documentation and in error messages."""

UPDATE_KINDS: dict[int, UpdateKind] = {
    0: UpdateKind.CACHED,
    1: UpdateKind.FULL,
    2: UpdateKind.FAILED,
    3: UpdateKind.DELTA,
}
"""The kind of an endpoint update, by the number in the `scope` field of its record."""

MAX_ENDPOINT_PAGE = 15
"""Highest number under which an endpoint list can be stored; the numbers start at 0."""

MAX_HEALTH_CHECK_OUTCOME = 7
"""Highest number of a health check's outcome; greater numbers are reserved."""

ALL_PEERS_INDEX = 0xFFFF
"""Value of a gossip datagram's receiver field that stands for all peer planners."""

MAX_TEXT_BYTES = 2000
"""Maximum length of the text of a log line or a fault; longer texts are truncated."""
