"""Speak HTTP with callers, backend servers and operators."""
