"""Benchmarks of fault detection and false ejections, on a simulated fleet."""
