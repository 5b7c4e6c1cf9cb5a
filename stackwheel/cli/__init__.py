"""The command line: one file for each group of commands, which parses, calls and prints."""
