"""The client's commands, one module each."""
