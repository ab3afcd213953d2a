"""Store large tables in packed bytes behind typed rows."""
