"""Benchmarks of the replicated log and its data folder."""
