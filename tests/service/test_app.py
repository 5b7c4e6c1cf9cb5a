"""The settings that the service derives for the policy, and the limits that the service itself enforces."""

from dataclasses import replace

from policy_harness import SETTINGS

from stackwheel.policy.channel import ChannelBudget
from stackwheel.service.app import stream_timeout, with_jitter_margin
from stackwheel.wire.connection_limits import RateLimiter


def test_the_policy_may_write_when_a_slot_starts_slightly_before_the_message_window_ends() -> None:
    """On sockets a slot may start a few milliseconds early; the policy must not skip it for that."""
    settings = replace(SETTINGS, message_cap=2, message_window=10_000.0)
    channel = ChannelBudget(with_jitter_margin(settings))
    proxy = 3
    channel.message_times[proxy] = [1000.0, 2000.0]
    channel.start_call(10_990.0, {})
    assert channel.may_send_message(proxy, 1.0)
    assert replace(with_jitter_margin(settings), message_window=settings.message_window) == settings


def test_the_rate_limiter_enforces_the_message_cap_at_the_time_of_writing() -> None:
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


def test_the_stream_timeout_covers_missed_reports_and_a_full_queue() -> None:
    settings = replace(SETTINGS, report_interval=1000.0, queue_limit=6000.0, channel_rate=3000.0, transit_time=300.0)
    assert stream_timeout(settings) == 4000.0 + 2000.0 + 600.0
