"""The membership of this controller: its state machine, the leader election, and the views that the leader writes.

All shared state is in the key-value store: a key for each member and the leader key, which are deleted when the lease
of their member expires, and the view, on which the changes of jobs and machines are conditional.
"""

import logging
from collections.abc import Callable
from datetime import timedelta
from enum import Enum, auto
from typing import Any

from ramptide.clients.key_value_store import KeyValueStore
from ramptide.clients.transactions import Put, Transaction, TransactionResult
from ramptide.cluster.errors import MalformedViewError
from ramptide.cluster.member_lease import STEP_INTERVAL, MemberLease
from ramptide.cluster.view import View, decode_view, encode_view, next_view
from ramptide.state.watch_cache import WatchCache

__all__ = ["LEADER_KEY", "MEMBER_PREFIX", "VIEW_KEY", "Membership", "MembershipState", "membership_state"]

log = logging.getLogger(__name__)

VIEW_KEY = "live/view"
LEADER_KEY = "live/leader"
MEMBER_PREFIX = "live/member/"
#: How long a leader waits for all configured controllers to register while no member of the last view has.
REGISTRATION_TIMEOUT = timedelta(seconds=1)


class MembershipState(Enum):
    """The place of this controller in the cluster; the status and the log show the name in lower case."""

    #: This controller holds no lease.
    APPLYING = auto()
    #: This controller holds a lease and is not in the view.
    STANDING = auto()
    #: This controller is a member of the view and does not lead it.
    SERVING = auto()
    #: This controller is the member that leads the view.
    LEADING = auto()


def membership_state(has_lease: bool, is_in_view: bool, is_leader: bool) -> MembershipState:
    """Return the membership state that the lease, the view and the leader key imply.

    The state is a function of these three facts alone, so that no order of changes can lead to a wrong state. The
    possible transitions are:

    ============================  ==============================================
    transition                    cause
    ============================  ==============================================
    APPLYING -> STANDING          the store grants a lease
    STANDING -> SERVING, LEADING  a view contains this incarnation as a member
    SERVING -> LEADING            the view names this member as its leader, and
                                  this incarnation holds the leader key
    LEADING -> SERVING            another member leads, or the leader key is lost
    SERVING, LEADING -> STANDING  a view does not contain this incarnation
    any -> APPLYING               the lease ends, or this controller steps down
    ============================  ==============================================
    """
    if not has_lease:
        return MembershipState.APPLYING
    if not is_in_view:
        return MembershipState.STANDING
    return MembershipState.LEADING if is_leader else MembershipState.SERVING


class Membership:
    """Keeps the lease and the member key of this controller, runs for leader, and writes the views when it leads.

    A view is changed only by a transaction that is conditional on the revisions of the leader key and of the view
    itself, so that a leader whose lease has expired, or a delayed copy of its request, changes nothing.

    Parameters
    ----------
    store
        The client of the key-value store.
    watch_cache
        The copy of the live keys of the store.
    member
        The name of this controller in the settings.
    incarnation
        An identifier of this process that no other process has.
    controller_count
        The number of controllers in the settings.
    on_view
        Called after a view from the store has been applied.
    """

    def __init__(
        self,
        store: KeyValueStore,
        watch_cache: WatchCache,
        member: str,
        incarnation: str,
        controller_count: int,
        on_view: Callable[[], None],
    ) -> None:
        self._store = store
        self._watch_cache = watch_cache
        self._runtime = store.runtime
        self.member = member
        #: The incarnation under which this controller is or can be a member; it changes with each lost lease.
        self.incarnation = incarnation
        self._first_incarnation = incarnation
        self._lost_lease_count = 0
        self._controller_count = controller_count
        self._on_view = on_view
        self.state = MembershipState.APPLYING
        self.view: View | None = None
        #: The modification revision of the view's record; 0 before the first view.
        self.view_revision = 0
        self._lease = MemberLease(store, self._lose_lease)
        #: Whether this controller gave up its place in the view and does not apply for another before `resume`.
        self.has_stepped_down = False
        #: The incarnations of the members that have a member key.
        self._registered: dict[str, str] = {}
        #: The value of the leader key.
        self._leader: dict[str, str] | None = None
        #: Whether a request for a lease or a transaction is in flight.
        self._is_request_in_flight = False
        #: When this controller, holding the leader key, began to wait for more controllers to register.
        self._waiting_since: timedelta | None = None

    @property
    def is_serving(self) -> bool:
        """Whether this controller is a member of the current view, leading or not."""
        return self.state in (MembershipState.SERVING, MembershipState.LEADING)

    @property
    def is_leading(self) -> bool:
        """Whether this controller leads the current view."""
        return self.state is MembershipState.LEADING

    @property
    def is_leaderless(self) -> bool:
        """Whether no controller holds the leader key."""
        return self._leader is None

    @property
    def lease_confirmed_at(self) -> timedelta | None:
        """When the last request that found the lease alive was sent, on the monotonic clock; None without a lease.

        No view leaves this controller out until `LEASE_TIMEOUT` after that moment.
        """
        return self._lease.confirmed_at

    def start(self) -> None:
        """Apply for a lease and a place in the view, and maintain both until the process ends."""
        self._step()

    def step_down(self) -> None:
        """Give up the place in the view at once, so that other members can take over the unreachable machines."""
        lease_id = self._lease.lease_id
        if lease_id is not None:
            self.has_stepped_down = True
            self._lose_lease()
            self._store.revoke_lease(lease_id)

    def resume(self) -> None:
        """Allow this controller to apply for a place in the view again after `step_down`."""
        self.has_stepped_down = False

    # Changes from the watch cache

    def on_change(self, key: str, value: Any, mod_revision: int) -> None:
        """Apply a change of the view, the leader key or a member key; `value` is None for a deleted key."""
        if key == VIEW_KEY:
            self._apply_view(value, mod_revision)
        elif key == LEADER_KEY:
            self._leader = value if isinstance(value, dict) else None
            self._update_state()
        elif key.startswith(MEMBER_PREFIX):
            self._apply_member(key.removeprefix(MEMBER_PREFIX), value)

    def _apply_view(self, value: Any, mod_revision: int) -> None:
        try:
            view = decode_view(value)
        except MalformedViewError as error:
            log.error("broken view record: error=%r", str(error))
            return
        self.view = view
        self.view_revision = mod_revision
        log.info(
            "view changed: view=%d leader=%s members=%r revision=%d",
            view.number,
            view.leader,
            ", ".join(view.members),
            mod_revision,
        )
        self._update_state()
        self._on_view()

    def _apply_member(self, name: str, value: Any) -> None:
        if isinstance(value, dict):
            self._registered[name] = str(value.get("inc"))
        else:
            self._registered.pop(name, None)

    def _update_state(self) -> None:
        state = membership_state(
            has_lease=self._lease.lease_id is not None,
            is_in_view=self.view is not None and self.view.members.get(self.member) == self.incarnation,
            is_leader=self.view is not None and self.view.leader == self.member and self._holds_leader_key(),
        )
        if state is not self.state:
            log.info("membership changed: before=%s after=%s", self.state.name.lower(), state.name.lower())
            self.state = state

    def _holds_leader_key(self) -> bool:
        return self._leader is not None and self._leader.get("inc") == self.incarnation

    def _may_acquire_leader_key(self) -> bool:
        """Return whether no other process can hold the leader key.

        An earlier incarnation of this member has certainly ended, so its leader key need not expire first.
        """
        return self._leader is None or (self._leader.get("member") == self.member and not self._holds_leader_key())

    # Lease, registration and leadership

    def _step(self) -> None:
        self._runtime.after(STEP_INTERVAL, self._step)
        if self._watch_cache.current_as_of is None:
            return
        self._maintain_lease()
        if self._lease.lease_id is not None and not self._is_request_in_flight:
            self._maintain_membership(self._lease.lease_id)

    def _maintain_lease(self) -> None:
        if self._lease.lease_id is not None:
            self._lease.keep_alive_if_due()
        elif not self.has_stepped_down and not self._is_request_in_flight:
            self._is_request_in_flight = True
            self._lease.create(self._on_lease_requested)

    def _on_lease_requested(self) -> None:
        self._is_request_in_flight = False
        self._update_state()

    def _lose_lease(self) -> None:
        """Continue as a new incarnation after the lease has ended.

        The member key is deleted with the lease, so that any leader may write a view without this member from now on.
        The old incarnation ends here with its authority. Other members may therefore assume that an incarnation which a
        view leaves out last found its lease alive at least `LEASE_TIMEOUT` before.
        """
        self._lost_lease_count += 1
        self.incarnation = f"{self._first_incarnation}.{self._lost_lease_count}"
        log.info("lease lost: incarnation=%s", self.incarnation)
        self._lease.forget()
        self._update_state()

    def _maintain_membership(self, lease_id: int) -> None:
        """Register this member, run for leader, or update the view when this member leads."""
        if self._registered.get(self.member) != self.incarnation:
            self._put_under_lease(MEMBER_PREFIX + self.member, {"inc": self.incarnation}, lease_id)
        elif self._may_acquire_leader_key():
            self._put_under_lease(LEADER_KEY, {"member": self.member, "inc": self.incarnation}, lease_id)
        elif self._holds_leader_key():
            self._update_view()

    def _put_under_lease(self, key: str, value: dict[str, str], lease_id: int) -> None:
        """Write a key that is deleted when the lease ends, unless it has changed since the local copy of it."""
        conditions = {key: self._watch_cache.mod_revision(key)}
        self._commit(Transaction(conditions=conditions, puts=[Put(key, value, lease_id)]))

    def _update_view(self) -> None:
        """Write a new view when members have registered, restarted or lost their keys.

        Only the holder of the leader key calls this.
        """
        view = self.view
        if view is not None and view.leader == self.member and view.members == self._registered:
            self._waiting_since = None
            return
        if self.member not in self._registered or self._must_wait_for_registrations():
            return
        value = encode_view(next_view(view, self.member, self._registered))
        conditions = {LEADER_KEY: self._watch_cache.mod_revision(LEADER_KEY), VIEW_KEY: self.view_revision}
        self._commit(Transaction(conditions=conditions, puts=[Put(VIEW_KEY, value)]))

    def _must_wait_for_registrations(self) -> bool:
        """Return whether a new view has to wait until more controllers have registered.

        When all controllers start together, a short wait avoids a separate view for each of them.
        """
        view_members = self.view.members if self.view is not None else {}
        if len(self._registered) >= self._controller_count or set(view_members) & set(self._registered):
            return False
        self._waiting_since = self._waiting_since or self._runtime.now
        return self._runtime.now - self._waiting_since < REGISTRATION_TIMEOUT

    def _commit(self, transaction: Transaction) -> None:
        self._is_request_in_flight = True

        def on_result(result: TransactionResult) -> None:
            self._is_request_in_flight = False
            if result.is_applied:
                self._watch_cache.apply_commit(transaction, result.commit_revision)
            else:
                self._lease.check_soon()

        self._store.commit(transaction, on_result)
