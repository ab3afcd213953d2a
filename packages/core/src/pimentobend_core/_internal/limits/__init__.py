"""Limits on the requests of organisations over the whole fleet."""
