"""What this controller may use of each team limit."""

from typing import Protocol

from ramptide.controller.state import ControllerState
from ramptide.state.amounts import TeamAmounts

__all__ = ["QuotaShares"]


class SharePermits(Protocol):
    """The quota feature, which knows what members have passed on to each other."""

    def permits(self, granted: TeamAmounts) -> TeamAmounts:
        """Return what we may use of each limit, given what the leader grants."""


class QuotaShares:
    """Keeps our shares in the controller's state: what the leader granted, changed by what members passed on.

    `acknowledged`: the number of the leader's last message whose shares we act on; 0 before the first one.
    """

    def __init__(self, state: ControllerState) -> None:
        self._state = state
        self._permits: SharePermits | None = None
        self.acknowledged = 0

    def use_transfers(self, permits: SharePermits) -> None:
        """Count transfers between members too, from now on; called once where the quota feature is on."""
        self._permits = permits

    def new_view(self) -> None:
        """Start without any share in a new view."""
        self.acknowledged = 0
        self._state.quota_shares, self._state.granted_shares = {}, {}

    def take_message(self, granted: TeamAmounts, sequence_number: int) -> None:
        """Act on what a message of the leader grants us."""
        self.take(granted)
        self.acknowledged = sequence_number

    def take(self, granted: TeamAmounts) -> None:
        """Act on the leader's split from now on."""
        self._state.granted_shares = granted
        self.refresh()

    def refresh(self) -> None:
        """Work out again what we may use, after a new split or a transfer."""
        granted = self._state.granted_shares
        self._state.quota_shares = self._permits.permits(granted) if self._permits is not None else granted
