"""Gossip between daemons: discovery and the list of the fleet."""
