"""Settings that the service derives for the policy, and the limits that it keeps itself."""

from dataclasses import replace

from policy_harness import SETTINGS

from stackwheel.policy.channel import ChannelBudget
from stackwheel.service.app import stream_timeout, with_slot_jitter
from stackwheel.wire.connection_limits import RateLimiter


def test_a_message_has_left_the_window_when_a_slot_comes_early() -> None:
    """In the simulator the tenth slot comes 10 s later to the millisecond, on sockets 3 ms early or late."""
    settings = replace(SETTINGS, message_cap=2, message_window=10_000.0)
    channel = ChannelBudget(with_slot_jitter(settings))
    proxy = 3
    channel.message_times[proxy] = [1000.0, 2000.0]
    channel.start_call(10_990.0, {})
    assert channel.may_send_message(proxy, 1.0)
    assert replace(with_slot_jitter(settings), message_window=settings.message_window) == settings


def test_the_rate_limiter_keeps_the_cap_as_messages_are_written() -> None:
    limiter = RateLimiter(2, 10_000.0)
    assert [limiter.delay(now) for now in (0.0, 5.0)] == [0.0, 0.0]
    limiter.record_write(1.0)
    limiter.record_write(4.0)
    assert limiter.delay(5.0) == 6.0
    assert limiter.delay(11.0) == 0.0
    limiter.record_write(11.0)
    assert limiter.delay(12.0) == 2.0
    unlimited = RateLimiter(0, 10_000.0)
    for _ in range(100):
        unlimited.record_write(1.0)
    assert unlimited.delay(1.0) == 0.0


def test_the_stream_timeout_outlasts_reports_and_a_full_queue() -> None:
    settings = replace(SETTINGS, report_interval=1000.0, queue_limit=6000.0, channel_rate=3000.0, transit_time=300.0)
    assert stream_timeout(settings) == 4000.0 + 2000.0 + 600.0
