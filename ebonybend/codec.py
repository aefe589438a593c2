"""Encode and decode attrs classes: MessagePack between processes, JSON outside."""

from typing import Any, TypeVar

from msgspec import DecodeError, ValidationError, json, msgpack

from ebonybend.errors import ErrorKind, SteeringError

T = TypeVar("T")


def pack(message: Any) -> bytes:
    """Encode a message as MessagePack."""
    return msgpack.encode(message)


def unpack(data: bytes, kind: type[T]) -> T:
    """Decode a MessagePack message; raise BAD_REQUEST if it doesn't fit the type."""
    try:
        return msgpack.decode(data, type=kind)
    except (DecodeError, ValidationError) as error:
        raise SteeringError(ErrorKind.BAD_REQUEST, str(error)) from error


def to_json(message: Any) -> bytes:
    """Encode a message as JSON."""
    return json.encode(message)


def from_json(data: bytes, kind: type[T]) -> T:
    """Decode a JSON message; raise BAD_REQUEST if it doesn't fit the type."""
    try:
        return json.decode(data, type=kind)
    except (DecodeError, ValidationError) as error:
        raise SteeringError(ErrorKind.BAD_REQUEST, str(error)) from error
