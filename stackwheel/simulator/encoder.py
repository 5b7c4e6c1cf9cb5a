"""Encodes actions of the policy as records of the simulator protocol."""

from __future__ import annotations

import struct
from typing import TypeAlias

from stackwheel.interface import (
    Action,
    AssignTable,
    AttachNonce,
    ClearTable,
    FetchEndpoints,
    Log,
    SendGossip,
    SetAdmission,
    SetEjection,
    SetTimer,
    SetWeight,
    StartHealthCheck,
    WatchEndpoints,
)
from stackwheel.simulator.framing import encode_record
from stackwheel.simulator.wire import ALL_PEERS_INDEX, MAX_TEXT_BYTES, ActionCode

ProxyAction: TypeAlias = SetWeight | AssignTable | SetAdmission | ClearTable | SetEjection | AttachNonce
PlannerAction: TypeAlias = SetTimer | StartHealthCheck | WatchEndpoints | FetchEndpoints | SendGossip | Log


def encode_action(instance: int, action: Action) -> bytes:
    """Encode an action of a planner instance as a record."""
    if isinstance(action, ProxyAction):
        return _encode_proxy_action(instance, action)
    return _encode_planner_action(instance, action)


def encode_fault(instance: int, text: str) -> bytes:
    """Encode a record which states that a planner instance has raised an exception; `text` describes the exception."""
    return _encode_text(ActionCode.FAULT, instance, text)


def _encode_proxy_action(instance: int, action: ProxyAction) -> bytes:
    """Encode an action that affects proxies: their tables, admission levels, ejections or nonces."""
    match action:
        case SetWeight(table, server, weight):
            return _pack(ActionCode.SET_WEIGHT, ">HH6sf", instance, table, server, weight)
        case AssignTable(proxy, table, classes):
            return _pack(ActionCode.ASSIGN_TABLE, ">HHHH", instance, proxy, table, _class_mask(classes))
        case SetAdmission(table, classes, level, retry):
            return _pack(ActionCode.SET_ADMISSION, ">HHHfB", instance, table, _class_mask(classes), level, retry)
        case ClearTable(table):
            return _pack(ActionCode.CLEAR_TABLE, ">HH", instance, table)
        case SetEjection(server, ejected):
            return _pack(ActionCode.SET_EJECTION, ">H6sB", instance, server, ejected)
        case AttachNonce(nonce, to_all_proxies):
            return _pack(ActionCode.ATTACH_NONCE, ">HQB", instance, nonce, to_all_proxies)


def _encode_planner_action(instance: int, action: PlannerAction) -> bytes:
    """Encode an action that does not affect proxies, such as a timer, a health check or a gossip datagram."""
    match action:
        case SetTimer(delay, token):
            return _pack(ActionCode.SET_TIMER, ">HdQ", instance, delay, token)
        case StartHealthCheck(server):
            return _pack(ActionCode.START_HEALTH_CHECK, ">H6s", instance, server)
        case WatchEndpoints(enabled):
            return _pack(ActionCode.WATCH_ENDPOINTS, ">HB", instance, enabled)
        case FetchEndpoints():
            return _pack(ActionCode.FETCH_ENDPOINTS, ">H", instance)
        case SendGossip(payload, peer):
            receiver = ALL_PEERS_INDEX if peer is None else peer
            layout = f">HHH{len(payload)}s"
            return _pack(ActionCode.SEND_GOSSIP, layout, instance, receiver, len(payload), payload)
        case Log(text):
            return _encode_text(ActionCode.LOG, instance, text)


def _encode_text(code: ActionCode, instance: int, text: str) -> bytes:
    encoded_text = text.encode("utf-8", "replace")[:MAX_TEXT_BYTES]
    return _pack(code, f">HH{len(encoded_text)}s", instance, len(encoded_text), encoded_text)


def _class_mask(classes: tuple[int, ...]) -> int:
    """Return a bit mask of request classes, with class 0 as the lowest bit."""
    return sum(1 << request_class for request_class in classes)


def _pack(code: ActionCode, layout: str, *fields: object) -> bytes:
    return encode_record(code, struct.pack(layout, *fields))
