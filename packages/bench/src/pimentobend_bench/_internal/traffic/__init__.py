"""Measure the decisions of a request on simulated servers."""
