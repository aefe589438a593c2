"""Encode and decode attrs classes as MessagePack or JSON.

Processes exchange MessagePack with each other and JSON with everything else.
"""

from typing import Any, TypeVar

from msgspec import DecodeError, ValidationError, json, msgpack

from ebonybend.errors import ErrorKind, SteeringError

T = TypeVar("T")
# Raised for malformed data, for values that are nested too deeply, and for numbers with
# too many digits.
UNDECODABLE = (DecodeError, ValidationError, RecursionError, ValueError, OverflowError)


def pack(message: Any) -> bytes:
    """Encode a message as MessagePack."""
    return msgpack.encode(message)


def unpack(data: bytes, message_type: type[T]) -> T:
    """Decode a MessagePack message; raise BAD_REQUEST if it doesn't match the type."""
    try:
        return msgpack.decode(data, type=message_type)
    except UNDECODABLE as error:
        raise SteeringError(ErrorKind.BAD_REQUEST, str(error)) from error


def to_json(message: Any) -> bytes:
    """Encode a message as JSON."""
    return json.encode(message)


def from_json(data: bytes, message_type: type[T]) -> T:
    """Decode a JSON message; raise BAD_REQUEST if it doesn't match the type."""
    try:
        return json.decode(data, type=message_type)
    except UNDECODABLE as error:
        raise SteeringError(ErrorKind.BAD_REQUEST, str(error)) from error
