"""Follow which backend servers and daemons are alive."""
