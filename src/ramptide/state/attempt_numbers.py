"""The numbers of attempts, from which the view and the scheduler that decided on a start can be told."""

from collections.abc import Iterable

__all__ = ["AttemptNumbers"]

#: The most members of a view.
MAX_MEMBERS = 64
#: The bits in which a scheduler counts its attempts in one view.
ATTEMPT_BITS = 24
MAX_ATTEMPTS = 1 << ATTEMPT_BITS


class AttemptNumbers:
    """The range of numbers of each scheduler in one view; no two schedulers and no two views have a number in common.

    Parameters
    ----------
    view
        The number of the view.
    members
        The names of its members.
    """

    def __init__(self, view: int, members: Iterable[str]) -> None:
        self._bases = {
            member: (view * MAX_MEMBERS + place) << ATTEMPT_BITS for place, member in enumerate(sorted(members))
        }

    def base_of(self, member: str) -> int:
        """Return the number after which those of a member's scheduler begin."""
        return self._bases[member]

    def is_of(self, member: str, attempt: int) -> bool:
        """Return whether the scheduler of a member decided on an attempt in this view."""
        base = self._bases.get(member)
        return base is not None and base < attempt < base + MAX_ATTEMPTS
