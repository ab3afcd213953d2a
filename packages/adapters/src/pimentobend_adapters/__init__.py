"""Adapters that connect the core to sockets, disks, clocks, metrics and logs."""
