"""Bound the memory that the bodies of requests and answers take."""
