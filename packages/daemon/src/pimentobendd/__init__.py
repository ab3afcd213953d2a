"""Run the proxy daemon."""
