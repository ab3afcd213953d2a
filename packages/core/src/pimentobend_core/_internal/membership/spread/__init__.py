"""Replicate rows from their authors to every instance over a relay tree."""
