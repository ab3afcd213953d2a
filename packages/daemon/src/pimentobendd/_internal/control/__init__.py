"""Run the replicated configuration on control instances."""
