"""Benchmarks of the fleet, most of them on simulated parts."""
