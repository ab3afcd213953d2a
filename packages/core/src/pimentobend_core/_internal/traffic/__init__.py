"""Admit requests to a pool and select backend servers."""
