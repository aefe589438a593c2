"""IP addresses with ports, as text."""

from ipaddress import ip_address


def split_address(address: str) -> tuple[str, int]:
    """Return the IP address and the port of "ip:port"; raise ValueError if invalid."""
    host, _, port = address.rpartition(":")
    ip_address(host)
    number = int(port)
    if not 1 <= number <= 65535:
        raise ValueError(f"port {number} is not in 1..65535")
    return host, number
