"""Benchmarks of how rows spread through the fleet, on a simulated network.

A row describes one backend server or one change of the tables. Rows travel through
the spread tree: its root is the leading control replica, below it are relays, and
daemons are its clients.
"""
