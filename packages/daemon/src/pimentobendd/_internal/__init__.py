"""Hold the private modules of the package."""
