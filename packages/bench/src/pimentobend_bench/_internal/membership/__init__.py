"""Benchmarks of how rows spread through the fleet, on a simulated network."""
