"""Exchanges weight tables and proxy statuses as files that are replaced atomically; see `docs/files.md`."""
