"""IP addresses with ports, as text."""

from ipaddress import IPv4Address, ip_address

MAX_PORT_DIGITS = 5


def split_address(address: str) -> tuple[str, int]:
    """Return the IP address and the port of "ip:port"; raise ValueError if invalid."""
    host, _, port = address.rpartition(":")
    ip_address(host)
    if not (port.isascii() and port.isdigit() and len(port) <= MAX_PORT_DIGITS):
        raise ValueError("the port is no number in 1..65535")
    number = int(port)
    if not 1 <= number <= 65535:
        raise ValueError(f"port {number} is not in 1..65535")
    return host, number


def is_address(address: str) -> bool:
    """Return whether a text is an IP address with a port."""
    try:
        split_address(address)
    except ValueError:
        return False
    return True


def is_ipv4_address(address: str) -> bool:
    """Return whether a text is an IPv4 address with a port."""
    try:
        IPv4Address(split_address(address)[0])
    except ValueError:
        return False
    return True
