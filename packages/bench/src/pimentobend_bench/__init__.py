"""Measure the fleet with small fakes."""
