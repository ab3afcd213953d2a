"""Memory-efficient tables of routes or servers, each of which is stored as bytes."""
