"""Measure slopes and work out the target size from them."""
