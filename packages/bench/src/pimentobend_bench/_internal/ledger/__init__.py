"""Benchmarks of the ledger over simulated links and disks with fixed delays."""
