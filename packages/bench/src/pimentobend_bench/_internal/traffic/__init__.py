"""Benchmarks of load balancing and queueing, on simulated servers."""
