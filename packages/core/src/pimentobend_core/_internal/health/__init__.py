"""Detect failing backend servers and eject them above the floor."""
