"""Run the replicated state on the instances with a disk."""
