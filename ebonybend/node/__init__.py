"""One process on each machine: callers' port, directory, membership and forwarding."""
