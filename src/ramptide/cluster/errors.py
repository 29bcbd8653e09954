"""What can be wrong with what other controllers send or store.

The text of each error is the line that goes into the log.
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
    """The base of the errors of this package."""


class MalformedViewError(ClusterError):
    """The stored view does not have the form that leaders give it."""

    def __init__(self, reason: str) -> None:
        super().__init__(f"broken view: {reason}")


class PeerMessageError(ClusterError):
    """A message or a reply of another controller that is refused as a whole.

    Attributes
    ----------
    member
        The name of the sender, or None when the message can't be read so far.
    """

    def __init__(self, text: str, member: str | None = None) -> None:
        super().__init__(text)
        self.member = member


class MalformedMessageError(PeerMessageError):
    """A message that is no CBOR, lacks a field, or has a value that is out of bounds."""

    def __init__(self, reason: str) -> None:
        super().__init__(f"broken message between controllers: {reason}")


class MalformedReplyError(PeerMessageError):
    """A reply that does not have the form of a `PeerReply`."""

    def __init__(self, member: str, reason: str) -> None:
        super().__init__(f"broken answer of {member}: {reason}", member)


class UnknownSenderError(PeerMessageError):
    """A message of a controller that the settings do not name."""

    def __init__(self, member: str) -> None:
        super().__init__(f"a message of {member}, which the settings do not name", member)


class VersionMismatchError(PeerMessageError):
    """A message in another version than ours, which might be misread.

    Attributes
    ----------
    version
        The version of the message.
    """

    def __init__(self, member: str, version: int, own_version: int) -> None:
        super().__init__(f"{member} speaks version {version} between controllers, we speak {own_version}", member)
        self.version = version
