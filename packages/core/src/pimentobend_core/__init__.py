"""Decide routing, limits, health, agreement and membership."""
