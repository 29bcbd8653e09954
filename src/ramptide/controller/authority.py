"""Decides by proofs of membership whether this controller may renew leases, reply to agents and start tasks."""

import logging
from datetime import timedelta
from typing import Protocol

from ramptide.cluster.member_lease import LEASE_TIMEOUT
from ramptide.cluster.membership import VIEW_KEY, Membership
from ramptide.cluster.peers import Peers
from ramptide.cluster.view import View
from ramptide.state.watch_cache import WatchCache
from ramptide.transport.runtime import Runtime

__all__ = ["Authority"]

log = logging.getLogger(__name__)

#: The maximum age of the proof that the view is the current one, when a task is started.
MAX_START_PROOF_AGE = timedelta(seconds=2.5)
#: The maximum age of the agreement that no controller reaches the key-value store, at which this controller counts as
#: healthy.
MAX_HEALTHY_AGREEMENT_AGE = timedelta(seconds=3)
#: How long the key-value store may be unreachable for this controller alone before this controller counts as
#: unhealthy.
MAX_HEALTHY_STORE_OUTAGE = timedelta(seconds=4)


class ViewSource(Protocol):
    """Provides the view that this controller acts in."""

    @property
    def view(self) -> View | None:
        """The newest view; None before the first one."""


class Authority:
    """Decides what this controller may do now.

    Parameters
    ----------
    max_renewal_proof_age
        How long after the last proof of membership the leases of agents may be renewed.
    """

    def __init__(
        self,
        runtime: Runtime,
        state: ViewSource,
        membership: Membership,
        watch_cache: WatchCache,
        peers: Peers,
        max_renewal_proof_age: timedelta,
    ) -> None:
        self._runtime = runtime
        self._state = state
        self._membership = membership
        self._watch_cache = watch_cache
        self._peers = peers
        self._max_renewal_proof_age = max_renewal_proof_age
        self._logged: tuple[int, bool, bool] | None = None

    def common_conditions(self) -> dict[str, int]:
        """Return the conditions of every transaction of this controller, as modification revisions by key."""
        return {VIEW_KEY: self._membership.view_revision}

    def may_renew(self) -> bool:
        """Return whether the leases of agents may still be renewed.

        Other controllers rely on renewals ending `max_renewal_proof_age` after this controller's lease in the key-value
        store was last found alive (`Fencing.others_fenced_at`).
        """
        return self._is_proven_within(self._max_renewal_proof_age, self._lease_proof())

    def may_reply(self) -> bool:
        """Return whether agents may be replied to: this controller serves in the newest known view, and may renew."""
        if not self._membership.is_serving or not self.may_renew():
            return False
        # When another controller acts in a newer view, agents must find their new owners instead of this controller.
        view = self._state.view
        return view is not None and self._peers.newest_view <= view.number

    def may_start(self) -> bool:
        """Return whether tasks may be started: agents may be replied to, and the view was proven current recently."""
        return self.may_reply() and self._is_proven_within(MAX_START_PROOF_AGE, self._view_proof())

    def log_change(self) -> None:
        """Log whether this controller may reply and start tasks, and what it knows, when this or the view changes."""
        view = self._state.view
        allowed = (view.number if view is not None else 0, self.may_reply(), self.may_start())
        if allowed == self._logged:
            return
        self._logged = allowed
        log.info(
            "authority changed: view=%d may_reply=%s may_start=%s records_revision=%d records_age_s=%s "
            "lease_proof_age_s=%s view_proof_age_s=%s newest_view=%d",
            *allowed,
            self._watch_cache.revision,
            self._format_age(self._watch_cache.current_as_of),
            self._format_age(self._lease_proof()),
            self._format_age(self._view_proof()),
            self._peers.newest_view,
        )

    def _format_age(self, proven_at: timedelta | None) -> str:
        return "none" if proven_at is None else f"{(self._runtime.now - proven_at).total_seconds():.1f}"

    def is_healthy(self) -> bool:
        """Return whether requests can be accepted.

        An unreachable key-value store counts as a fault only when other controllers reach it.
        """
        current_as_of = self._watch_cache.current_as_of
        if current_as_of is None:
            return False
        if not self._watch_cache.is_unavailable:
            return True
        now, agreed_at = self._runtime.now, self._peers.store_unavailable_agreed_at()
        is_outage_local = agreed_at is None or now - agreed_at > MAX_HEALTHY_AGREEMENT_AGE
        return not is_outage_local or now - current_as_of < MAX_HEALTHY_STORE_OUTAGE

    def _is_proven_within(self, max_age: timedelta, proof: timedelta | None) -> bool:
        return proof is not None and self._runtime.now - proof < max_age

    def _view_proof(self) -> timedelta | None:
        """Return the time of the last proof that the local view is the current one, or None without any.

        The proof is an answer of the key-value store, or the replies of all other controllers that they cannot reach it
        either, so that none of them can have written a newer view.
        """
        agreed_at = self._peers.store_unavailable_agreed_at() if self._watch_cache.is_unavailable else None
        return _latest(self._watch_cache.current_as_of, agreed_at)

    def _lease_proof(self) -> timedelta | None:
        """Return the latest time from which, for `LEASE_TIMEOUT`, no leader can have removed this member from the view.

        This controller's lease in the key-value store was alive at that time. While no controller reaches the store, it
        is not known whether the lease is alive, only that this controller has not been removed yet.
        """
        agreed_at = self._peers.store_unavailable_agreed_at()
        current, lease_proof = self._watch_cache.current_as_of, self._membership.lease_confirmed_at
        proof = min(current, lease_proof) if current is not None and lease_proof is not None else None
        return _latest(proof, agreed_at - LEASE_TIMEOUT if agreed_at is not None else None)


def _latest(*times: timedelta | None) -> timedelta | None:
    return max((time for time in times if time is not None), default=None)
