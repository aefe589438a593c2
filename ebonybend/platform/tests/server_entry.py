"""Server entries in the format of the platform's store, for tests."""


def server_entry(address, service="s", failure_domain="a-1"):
    """Return the entry that a ready server writes."""
    info = {"Service": service, "Zone": failure_domain, "MaxConcurrency": 4}
    status = {"State": "ready", "WarmupLeftMs": 0}
    return {"Addr": address, "born": 1, "Info": info, "Status": status}
