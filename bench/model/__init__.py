"""A model of nodes, servers and callers in simulated time."""
