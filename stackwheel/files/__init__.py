"""Tables, orders and reports as files that are pushed and swapped whole."""
