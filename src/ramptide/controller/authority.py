"""Proof of membership: whether this controller may renew leases, reply to agents and start tasks."""

from datetime import timedelta
from typing import Protocol

from ramptide.cluster.member_lease import LEASE_TIMEOUT
from ramptide.cluster.membership import VIEW_KEY, Membership
from ramptide.cluster.peers import Peers
from ramptide.cluster.view import View
from ramptide.state.watch_cache import WatchCache
from ramptide.transport.runtime import Runtime

__all__ = ["Authority"]

#: How old the proof of our view may be when a task is started.
MAX_START_PROOF_AGE = timedelta(seconds=2.5)
#: How old the agreement that nobody reaches the key-value store may be for a controller to count as healthy.
MAX_HEALTHY_AGREEMENT_AGE = timedelta(seconds=3)
#: For how long an outage of the key-value store that others do not see is no fault yet.
HEALTHY_WITHOUT_STORE = timedelta(seconds=4)


class ViewSource(Protocol):
    """The view that this controller acts in."""

    @property
    def view(self) -> View | None:
        """The newest view; None before the first one."""


class Authority:
    """Answers what this controller may do now.

    Parameters
    ----------
    max_renewal_proof_age
        For how long after the last proof of membership leases may be renewed.
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

    def common_conditions(self) -> dict[str, int]:
        """Return the conditions that every transaction of this controller has, as modification revisions by key."""
        return {VIEW_KEY: self._membership.view_revision}

    def may_renew(self) -> bool:
        """Tell whether leases of agents may still be renewed.

        Others rely on this ending `max_renewal_proof_age` after our lease in the key-value store was last found alive
        (`Fencing.others_fenced_at`).
        """
        return self._is_proven_within(self._max_renewal_proof_age, self._lease_proof())

    def may_reply(self) -> bool:
        """Tell whether we may reply to agents: we serve in the newest view known, and may renew leases."""
        if not self._membership.is_serving or not self.may_renew():
            return False
        # Another controller acts in a newer view. Its agents must find their new owners, not us.
        view = self._state.view
        return view is not None and self._peers.newest_view <= view.number

    def may_start(self) -> bool:
        """Tell whether tasks may be started: we may reply to agents, and our view was proven recently."""
        return self.may_reply() and self._is_proven_within(MAX_START_PROOF_AGE, self._view_proof())

    def is_healthy(self) -> bool:
        """Tell whether requests can be accepted.

        An unreachable key-value store counts as a fault only when other controllers reach it.
        """
        current_as_of = self._watch_cache.current_as_of
        if current_as_of is None:
            return False
        if not self._watch_cache.is_unavailable:
            return True
        now, agreed_since = self._runtime.now, self._peers.unavailable_agreed_since()
        is_alone = agreed_since is None or now - agreed_since > MAX_HEALTHY_AGREEMENT_AGE
        return not is_alone or now - current_as_of < HEALTHY_WITHOUT_STORE

    def _is_proven_within(self, age: timedelta, proof: timedelta | None) -> bool:
        return proof is not None and self._runtime.now - proof < age

    def _view_proof(self) -> timedelta | None:
        """Return the time of the last proof that our view is the current one, or None without any.

        The proof is an answer of the key-value store, or the replies of all other members that they cannot reach it
        either, so that nobody can have written a newer view.
        """
        agreed = self._peers.unavailable_agreed_since() if self._watch_cache.is_unavailable else None
        return _latest(self._watch_cache.current_as_of, agreed)

    def _lease_proof(self) -> timedelta | None:
        """Return the last time such that, until `LEASE_TIMEOUT` later, nobody can have removed us from the view.

        Our lease in the key-value store was alive then. While nobody reaches the store it is not known whether the
        lease is alive, only that we have not been removed yet.
        """
        agreed = self._peers.unavailable_agreed_since()
        current, kept = self._watch_cache.current_as_of, self._membership.lease_kept_at
        proof = min(current, kept) if current is not None and kept is not None else None
        return _latest(proof, agreed - LEASE_TIMEOUT if agreed is not None else None)


def _latest(*moments: timedelta | None) -> timedelta | None:
    return max((moment for moment in moments if moment is not None), default=None)
