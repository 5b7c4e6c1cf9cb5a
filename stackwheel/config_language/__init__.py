"""The operators' own file: typed records in a CUE-like notation, unified with the program's schema."""
