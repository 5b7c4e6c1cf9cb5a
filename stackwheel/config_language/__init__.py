"""The operators' file: a small typed configuration language in the manner of CUE, unified with the program's schema."""
