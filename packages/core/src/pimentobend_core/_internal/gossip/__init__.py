"""Gossip between daemons: how each one discovers all others."""
