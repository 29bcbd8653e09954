"""A log of the latest deletions of keys.

Controllers that get no answer from the key-value store learn from this log which keys were deleted meanwhile.
"""

__all__ = ["DeleteLog"]

#: The number of deletions kept, well above those that occur during any outage of the store for a single controller.
MAX_DELETIONS = 5000


class DeleteLog:
    """The latest deletions of keys, and the revision since which the log is complete."""

    def __init__(self) -> None:
        #: The revision of each key's deletion, in the order in which the deletions were added.
        self._revisions: dict[str, int] = {}
        #: The log contains all deletions after this revision; None before the first load.
        self._complete_since: int | None = None

    def restart(self, revision: int) -> None:
        """Clear the log, which is complete for deletions after `revision` from now on."""
        self._complete_since = revision
        self._revisions.clear()

    def add(self, key: str, mod_revision: int) -> None:
        """Add a deletion, and remove the oldest ones beyond `MAX_DELETIONS`."""
        self._revisions.pop(key, None)
        self._revisions[key] = mod_revision
        while len(self._revisions) > MAX_DELETIONS and self._complete_since is not None:
            oldest_key = next(iter(self._revisions))
            self._complete_since = max(self._complete_since, self._revisions.pop(oldest_key))

    def __contains__(self, key: str) -> bool:
        """Return whether the log has a deletion of the key."""
        return key in self._revisions

    def since(self, revision: int) -> list[str] | None:
        """Return the keys that were deleted after a revision, or None when the log is not complete since then."""
        if self._complete_since is None or revision < self._complete_since:
            return None
        return [key for key, mod_revision in self._revisions.items() if mod_revision > revision]
