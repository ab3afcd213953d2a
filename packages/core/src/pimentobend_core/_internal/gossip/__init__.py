"""Let the daemons find each other and keep a list of the fleet."""
