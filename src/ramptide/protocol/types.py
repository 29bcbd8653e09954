"""Field types with their bounds, and the JSON codec of all external interfaces."""

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
#: Seconds that may be negative; small enough for arithmetic with timedeltas.
Seconds = Annotated[float, Meta(ge=-1e9, le=1e9)]
#: Seconds since 1970, well within the range of a datetime.
Timestamp = Annotated[float, Meta(ge=0, le=1e11)]
Positive = Annotated[float, Meta(gt=0, le=1e9)]
Count = Annotated[int, Meta(ge=0)]
Name = Annotated[str, Meta(min_length=1, max_length=200)]
#: Machine names are parts of keys of the key-value store, which may have at most 200 bytes and no spaces.
MachineName = Annotated[str, Meta(min_length=1, max_length=120, pattern=r"\A[!-~]+\Z")]

Message = TypeVar("Message")


class MessageError(ValueError):
    """Raised for a message that is not valid JSON or has an invalid field; the text names the field."""


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
        If the body is not JSON.
    """
    return decode_message(body, Any)


def decode_message(body: bytes, message_type: type[Message]) -> Message:
    """Decode a JSON body into a message of the given type.

    Raises
    ------
    MessageError
        If the body is not JSON, or a field is missing, of another type or out of its bounds.
    """
    try:
        return msgspec.json.decode(body, type=message_type)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise MessageError(str(error)) from error
