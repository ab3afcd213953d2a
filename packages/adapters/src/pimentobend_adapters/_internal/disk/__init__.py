"""Store a replica's records in its data folder."""
