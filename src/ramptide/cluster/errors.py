"""Errors in the messages, replies and views of other controllers.

The text of each error is written to the log.
"""

__all__ = [
    "ClusterError",
    "MalformedMessageError",
    "MalformedReplyError",
    "MalformedViewError",
    "PeerMessageError",
    "UnknownSenderError",
    "VersionMismatchError",
]


class ClusterError(Exception):
    """Base class of the errors of this package."""


class MalformedViewError(ClusterError):
    """The stored view cannot be decoded as a `View`."""

    def __init__(self, reason: str) -> None:
        super().__init__(f"malformed view: {reason}")


class PeerMessageError(ClusterError):
    """A message or a reply of another controller is refused as a whole.

    Attributes
    ----------
    member
        The name of the sender; None when the message cannot be decoded.
    """

    def __init__(self, text: str, member: str | None = None) -> None:
        super().__init__(text)
        self.member = member


class MalformedMessageError(PeerMessageError):
    """A message is not valid CBOR, lacks a field, or has a value that is out of bounds."""

    def __init__(self, reason: str) -> None:
        super().__init__(f"malformed message: {reason}")


class MalformedReplyError(PeerMessageError):
    """A reply cannot be decoded as a `PeerReply`."""

    def __init__(self, member: str, reason: str) -> None:
        super().__init__(f"malformed reply of {member}: {reason}", member)


class UnknownSenderError(PeerMessageError):
    """The sender of a message is not among the controllers in the settings."""

    def __init__(self, member: str) -> None:
        super().__init__(f"a message of {member}, which the settings do not name", member)


class VersionMismatchError(PeerMessageError):
    """A message has another version than this controller's, so that its fields might be misread.

    Attributes
    ----------
    version
        The version of the message.
    """

    def __init__(self, member: str, version: int, own_version: int) -> None:
        super().__init__(f"{member} sent a message in version {version}, expected {own_version}", member)
        self.version = version
