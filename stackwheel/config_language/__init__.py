"""The language of the operators' file: a small typed configuration language similar to CUE, and its schema."""
