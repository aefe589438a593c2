"""Cut-off watches keep a server in use that has left."""
