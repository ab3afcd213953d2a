"""Hold small helpers without decisions."""
