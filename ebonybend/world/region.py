"""Regions."""

from attrs import frozen


@frozen
class Region:
    """A group of failure domains that share links to other regions."""

    name: str
