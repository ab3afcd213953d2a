"""Forward requests through the daemon beside a backend server."""
