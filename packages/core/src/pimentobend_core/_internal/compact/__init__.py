"""Memory-efficient tables that store rows as packed bytes."""
