"""Connect the decisions to sockets, disks, clocks, metrics and logs."""
