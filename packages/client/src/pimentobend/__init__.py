"""Drive a proxy fleet from the command line."""
