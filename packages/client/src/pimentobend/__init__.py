"""Command-line client for operating a fleet of proxy daemons."""
