"""Join the daemons that forward through the one beside each server."""
