"""Forward requests between the caller's daemon and the server's daemon."""
