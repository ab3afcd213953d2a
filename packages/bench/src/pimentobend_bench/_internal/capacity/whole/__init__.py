"""Memory and CPU time of a process that holds the complete tables."""
