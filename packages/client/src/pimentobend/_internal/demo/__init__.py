"""Run the whole system in one process, with stand-in backend servers."""
