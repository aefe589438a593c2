"""Package peers."""
