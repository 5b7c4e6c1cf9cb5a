"""Reading of settings: unknown and absent paths, defaults, and the errors for invalid values."""

import pytest
import simulator_frames

from stackwheel.interface import RequestClass, Retry, Settings
from stackwheel.settings import SettingsError, flatten, load_settings, parse_settings


def parse(text: str) -> Settings:
    return parse_settings(text.encode())


def test_every_setting_of_the_policy_is_read() -> None:
    got = parse(simulator_frames.SETTINGS)
    assert (got.planner_count, got.planner_index, got.zone_count, got.endpoint_list_on_request) == (2, 0, 2, True)
    assert got.classes[0] == RequestClass("read", 500.0, 1200.0, 1.0, "repeatable", "all")
    assert got.classes[1].allowed_zones == (0, 1)
    assert (got.queue_limit, got.channel_rate, got.message_overhead, got.message_cap) == (4000.0, 3000.0, 4.0, 12)
    assert (got.slow_start_duration, got.slow_start_min_share, got.overload_multiple) == (17000.0, 0.2, 3.0)
    assert (got.admission_mode, got.load_balancing_policy, got.cross_zone_cost) == ("share", "two", 0.1)
    assert got.default_retry is Retry.ONCE_IF_NOT_EXECUTED


def test_absent_settings_have_defaults() -> None:
    assert parse("") == Settings()
    assert parse("\nfuture.key=1,2\n") == Settings()


def test_zero_disables_limits_but_is_no_valid_interval_or_rate() -> None:
    got = parse("family_info.backlog=0\nfamily_info.update_cap=0\nfamily_info.cycle=0\nfamily_info.channel_rate=0")
    assert (got.queue_limit, got.message_cap) == (0.0, 0)
    assert got.report_interval > 0
    assert got.channel_rate > 0


@pytest.mark.parametrize("method", ["weighted", "round", "two"])
@pytest.mark.parametrize("level", ["share", "rate", "off"])
def test_choices_are_read(method: str, level: str) -> None:
    got = parse(f"family_info.lb_method={method}\nfamily_info.level_kind={level}\ndiscovery=pushed")
    assert (got.load_balancing_policy, got.admission_mode, got.endpoint_list_on_request) == (method, level, False)


@pytest.mark.parametrize(
    ("line", "location", "problem"),
    [
        ("nothing", "line 1", "not of the form path=value: 'nothing'"),
        ("instances=two", "instances", "not a number: 'two'"),
        ("instances=1.5", "instances", "not an integer: '1.5'"),
        ("obligations.cold=nan", "obligations.cold", "not a finite, non-negative number: 'nan'"),
        ("obligations.cold=-1", "obligations.cold", "not a finite, non-negative number: '-1'"),
        ("bounds.peers=yes", "bounds.peers", "neither true nor false: 'yes'"),
        ("discovery=sometimes", "discovery", "not one of pushed, on_request: 'sometimes'"),
        ("services.count=40", "services.count", "over the maximum of 32 request classes: '40'"),
        ("family_info.usual_how=9", "family_info.usual_how", "over the maximum of 3: '9'"),
        ("services.count=1\nservices.0.effect=x", "services.0.effect", "not one of repeatable, by_key, once: 'x'"),
        ("services.count=1\nservices.0.only_zones=a", "services.0.only_zones", "not a list of integers: 'a'"),
    ],
)
def test_error_contains_location_and_value(line: str, location: str, problem: str) -> None:
    with pytest.raises(SettingsError) as caught:
        parse(line)
    assert (caught.value.location, caught.value.problem) == (location, problem)


def test_settings_that_are_not_utf_8_are_rejected() -> None:
    with pytest.raises(SettingsError, match="UTF-8"):
        parse_settings(b"a=\xff")


def test_absent_paths_are_reported() -> None:
    """Absent paths are logged when the service starts, so that a misspelt path does not go unnoticed."""
    nested = {
        "zones": ["a b", "c,d"],
        "services": [{"name": "read"}],
        "load_report": {"columns": ["inflight", "util"]},
        "bounds": {"peers": True},
        "nothing": None,
        "obligations": {"cold": 5.0, "coldness": 1},
    }
    pairs = dict(flatten(nested))
    assert pairs == {
        "zones": "a_b,c_d",
        "services.count": "1",
        "services.0.name": "read",
        "bounds.peers": "true",
        "load_report.columns": "inflight,util",
        "obligations.cold": "5.0",
        "obligations.coldness": "1",
    }
    _, names, absent = load_settings(nested)
    assert "obligations.cold_share" in absent
    assert "services.0.target" in absent
    assert "tick" in absent
    assert not {
        "obligations.cold",
        "zones",
        "services.0.name",
        "obligations.only_draining_binds",
        "services.0.only_zones",
    } & set(absent)
    assert names.columns == ("outstanding", "utilization")
