"""Fixtures for the tests of `wire`, which open sockets."""

from open_transports import _finalize_open_transports  # noqa: F401  # an autouse fixture
