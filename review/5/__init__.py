"""An endpoint that comes back cold while the store is down gets the full rate."""
