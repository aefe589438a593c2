"""A node ignores a grace time that changed in its settings file."""
