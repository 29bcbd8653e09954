"""The last deletions of keys, for controllers that the key-value store does not answer."""

__all__ = ["DeleteLog"]

#: So many deletions are kept; what ends in well over any outage of the store for one controller.
DELETES_KEPT = 5000


class DeleteLog:
    """The last deletions of keys, and the revision since which none is missing."""

    def __init__(self) -> None:
        #: The revision of each key's deletion, in the order in which we heard of them.
        self._revisions: dict[str, int] = {}
        #: All deletions after this revision are here; None before the first load.
        self._complete_since: int | None = None

    def restart(self, revision: int) -> None:
        """Forget all deletions; from now on, those after `revision` are added."""
        self._complete_since = revision
        self._revisions.clear()

    def add(self, key: str, mod_revision: int) -> None:
        """Add a deletion; the oldest ones make room for it."""
        self._revisions.pop(key, None)
        self._revisions[key] = mod_revision
        while len(self._revisions) > DELETES_KEPT and self._complete_since is not None:
            oldest_key = next(iter(self._revisions))
            self._complete_since = max(self._complete_since, self._revisions.pop(oldest_key))

    def since(self, revision: int) -> list[str] | None:
        """Return the keys that were deleted after a revision, or None when not all of them are known here."""
        if self._complete_since is None or revision < self._complete_since:
            return None
        return [key for key, mod_revision in self._revisions.items() if mod_revision > revision]
