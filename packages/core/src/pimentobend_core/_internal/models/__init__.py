"""Value types that are passed between filters."""
