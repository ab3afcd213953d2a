"""Membership of backend servers and daemons."""
