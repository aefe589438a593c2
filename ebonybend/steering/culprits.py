"""Recognise a request that comes again, and tell culprits from requests beside them.

Two requests are the same if these parts are equal:

- the method and the host, which select another operation or another route;
- the whole target, path and query, and the body, which the server acts upon;
- the caller, since a request may crash servers for one caller only. No header names
  it; the address of the connection does.

The service, the node, the connection and other headers are no part: they change from
one attempt to the next, or with the configuration. Since a caller may come from several
addresses, the same content from all callers together counts as a request of its own,
too.
"""

from collections.abc import Callable, Collection, Mapping, Set
from itertools import groupby

from xxhash import xxh3_64, xxh3_64_hexdigest

SEPARATOR = "-"


def identify(method: bytes, host: str, target: bytes, body: bytes, caller: str) -> str:
    """Return the identity of a request: hashes of its content and of its caller."""
    # The lengths keep the end of one part from being the start of the next.
    state = xxh3_64(b"%d %d %d " % (len(method), len(host), len(target)))
    for part in (method, host.encode(), target, body):
        state.update(part)
    return f"{state.hexdigest()}{SEPARATOR}{xxh3_64_hexdigest(caller.encode())[:8]}"


def content_of(identity: str) -> str:
    """Return the identity of the same content from any caller."""
    return identity.partition(SEPARATOR)[0]


def has_caller(identity: str) -> bool:
    """Return whether an identity is that of one caller's request."""
    return SEPARATOR in identity


def find_culprits(
    crashes: Mapping[str, Collection[str]], is_excused: Callable[[str], bool]
) -> Set[str]:
    """Return the requests that explain the crashes, by the crashes of each request.

    A request that ran on crashing servers is cleared if culprits that crashed more
    servers explain each of its crashes. Content counts after the requests of its
    callers, so it is a culprit only if none of them is.
    """

    def strength(identity: str) -> tuple[bool, int]:
        return has_caller(identity), len(crashes[identity])

    culprits: set[str] = set()
    explained: set[str] = set()
    ordered = sorted(crashes, key=strength, reverse=True)
    for _, equals in groupby(ordered, key=strength):
        # Requests with the same number of crashes don't clear one another.
        found = [
            identity
            for identity in equals
            if not explained.issuperset(crashes[identity]) and not is_excused(identity)
        ]
        culprits.update(found)
        for identity in found:
            explained.update(crashes[identity])
    return culprits
