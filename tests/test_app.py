"""What the service changes in the settings before the policy has them."""

from dataclasses import replace

from desk import SETTINGS

from stackwheel.balance import Outbox, ProxyView
from stackwheel.service.app import on_sockets, silence


def test_messages_that_arrive_late_stay_under_the_cap() -> None:
    """The first of a span may arrive 55 ms after it was ordered and the one over the cap at once."""
    told = replace(SETTINGS, message_cap=2, message_window=10_000.0)
    outbox, proxy = Outbox(on_sockets(told)), ProxyView(0, [1.0])
    proxy.written = [1000.0, 2000.0]
    outbox.advance(11_001.0)
    assert not outbox.may_write(proxy, 1.0)
    outbox.advance(11_501.0)
    assert outbox.may_write(proxy, 1.0)
    assert replace(on_sockets(told), message_window=told.message_window) == told


def test_silence_outlasts_reports_and_a_full_queue() -> None:
    told = replace(SETTINGS, cycle=1000.0, backlog=6000.0, channel_rate=3000.0, transit=300.0)
    assert silence(told) == 4000.0 + 2000.0 + 600.0
