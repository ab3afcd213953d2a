"""Exchange frames between the processes of the fleet."""
