"""Validate, version and replicate the tables of routes and pools."""
