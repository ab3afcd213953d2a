"""Forward requests through the daemon that a backend server is registered with."""
