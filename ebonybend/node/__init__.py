"""The node process on each machine: forwarding, client directory and membership."""
