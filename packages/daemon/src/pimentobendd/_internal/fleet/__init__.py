"""Run daemons that forward requests to the daemon on each backend server's machine."""
