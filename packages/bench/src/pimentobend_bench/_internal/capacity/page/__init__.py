"""Work out the target size and write the capacity page."""
