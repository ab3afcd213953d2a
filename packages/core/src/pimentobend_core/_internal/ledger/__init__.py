"""Claim work that may not be repeated."""
