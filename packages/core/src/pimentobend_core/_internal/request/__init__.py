"""Pass one request through a visible list of filters."""
