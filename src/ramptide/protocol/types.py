"""Field types with their bounds, and the JSON codec that all outside interfaces share."""

from typing import Annotated, Any, TypeVar

import msgspec
from msgspec import Meta

__all__ = [
    "Amount",
    "Count",
    "MachineName",
    "MessageError",
    "Name",
    "Positive",
    "Seconds",
    "Timestamp",
    "decode_json",
    "decode_message",
    "encode_error",
    "encode_json",
]

Amount = Annotated[float, Meta(ge=0, le=1e9)]
#: May be negative; small enough for arithmetic with time spans.
Seconds = Annotated[float, Meta(ge=-1e9, le=1e9)]
#: Seconds since 1970, well within what a datetime holds.
Timestamp = Annotated[float, Meta(ge=0, le=1e11)]
Positive = Annotated[float, Meta(gt=0, le=1e9)]
Count = Annotated[int, Meta(ge=0)]
Name = Annotated[str, Meta(min_length=1, max_length=200)]
#: Part of keys of the key-value store, which may have 200 bytes and no spaces.
MachineName = Annotated[str, Meta(min_length=1, max_length=120, pattern=r"\A[!-~]+\Z")]

Message = TypeVar("Message")


class MessageError(ValueError):
    """A message that does not have the form its sender should give it; the text names the field."""


def encode_json(value: Any) -> bytes:
    """Encode a message, or any other value, as JSON."""
    return msgspec.json.encode(value)


def encode_error(text: str) -> bytes:
    """Return a JSON body with an error text."""
    return encode_json({"error": text})


def decode_json(body: bytes) -> Any:
    """Decode any JSON value.

    Raises
    ------
    MessageError
        If the body is no JSON.
    """
    return decode_message(body, Any)


def decode_message(body: bytes, kind: type[Message]) -> Message:
    """Decode a JSON body into a message of the given type.

    Raises
    ------
    MessageError
        If the body is no JSON, or a field is missing or out of its bounds.
    """
    try:
        return msgspec.json.decode(body, type=kind)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise MessageError(str(error)) from error
