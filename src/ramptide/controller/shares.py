"""Keeps this controller's quota shares: what it may use of each team limit."""

from typing import Protocol

from ramptide.controller.state import ControllerState
from ramptide.state.amounts import TeamAmounts

__all__ = ["QuotaShares"]


class SharePermits(Protocol):
    """The quota feature, which knows the transfers between members."""

    def permitted_shares(self, granted: TeamAmounts) -> TeamAmounts:
        """Return what this controller may use of each limit, given what the leader grants."""


class QuotaShares:
    """Keeps the shares in the controller's state: what the leader granted, changed by transfers between members.

    `acknowledged`: the sequence number of the leader's last message whose shares are applied; 0 before the first one.
    """

    def __init__(self, state: ControllerState) -> None:
        self._state = state
        self._permits: SharePermits | None = None
        self.acknowledged = 0

    def use_transfers(self, permits: SharePermits) -> None:
        """Include transfers between members from now on; called once where the quota feature is on."""
        self._permits = permits

    def on_new_view(self) -> None:
        """Reset all shares to nothing in a new view."""
        self.acknowledged = 0
        self._state.quota_shares, self._state.granted_shares = {}, {}

    def receive_grant(self, granted: TeamAmounts, sequence_number: int) -> None:
        """Apply the shares that a message of the leader grants, and record its sequence number."""
        self.apply_grant(granted)
        self.acknowledged = sequence_number

    def apply_grant(self, granted: TeamAmounts) -> None:
        """Apply the shares that the leader's split grants to this controller."""
        self._state.granted_shares = granted
        self.refresh()

    def refresh(self) -> None:
        """Recompute what this controller may use, after a new split or a transfer."""
        granted = self._state.granted_shares
        self._state.quota_shares = self._permits.permitted_shares(granted) if self._permits is not None else granted
