"""Measure detection and false ejections on a simulated fleet."""
