"""Serve backend servers and operators over HTTP."""
