"""Load the whole table into one process."""
