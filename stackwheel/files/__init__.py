"""Weight tables and proxy status exchanged by files, each replaced atomically; `docs/files.md` is the format."""
