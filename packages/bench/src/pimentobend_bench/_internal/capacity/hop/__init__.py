"""Measure what one hop adds to a request."""
