"""Carry requests between the daemons at their origin and beside their server."""
