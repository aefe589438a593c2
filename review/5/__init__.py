"""SIGHUP ends a process that is starting."""
