"""Measure the replicated log and its data folder."""
