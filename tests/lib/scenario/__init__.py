"""Run scripted scenarios on simulated time."""
