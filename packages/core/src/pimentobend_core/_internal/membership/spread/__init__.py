"""Spread rows from their authors to every instance, down a tree."""
