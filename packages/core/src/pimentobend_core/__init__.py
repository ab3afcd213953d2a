"""Decision code for routing, limits, health, consensus and membership, without I/O."""
