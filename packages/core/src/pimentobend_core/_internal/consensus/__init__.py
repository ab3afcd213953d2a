"""Agree on a replicated log among the control replicas."""
