"""Measure the spread of rows over a small fake network."""
