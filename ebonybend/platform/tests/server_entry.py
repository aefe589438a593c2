"""Entries of servers as the platform's store holds them, for tests."""


def server_entry(address, service="s", failure_domain="a-1"):
    """Return what a ready server writes of itself."""
    info = {"Service": service, "Zone": failure_domain, "MaxConcurrency": 4}
    status = {"State": "ready", "WarmupLeftMs": 0}
    return {"Addr": address, "born": 1, "Info": info, "Status": status}
