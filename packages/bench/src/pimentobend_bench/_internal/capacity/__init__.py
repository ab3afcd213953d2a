"""Measurements of cost against size, and capacity planning for the target fleet."""
