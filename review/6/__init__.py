"""A node that was frozen for some seconds refuses a service for good."""
