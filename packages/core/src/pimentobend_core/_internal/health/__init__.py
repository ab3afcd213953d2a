"""Detect failing backend servers and eject as many as the floor allows."""
