"""Measure the ledger on fakes with stated round trips."""
