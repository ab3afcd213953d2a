"""Check, version and spread the tables of routes and pools."""
