"""Estimates for the target fleet, and the capacity page that shows them."""
