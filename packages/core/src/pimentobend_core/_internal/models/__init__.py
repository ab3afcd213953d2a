"""Hold the values that pass between filters."""
