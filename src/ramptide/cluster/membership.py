"""Our own membership: the state machine, the election of a leader, and the views that the leader writes.

All state is in the key-value store: a key for each member and the leader key, which hang on the member's lease, and
the view, which everything else is conditional on.
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
#: How long the first leader waits for all controllers of the settings to register.
GATHER_TIMEOUT = timedelta(seconds=1)


class MembershipState(Enum):
    """Our place in the cluster. The lower-case name stands in the status and in the log."""

    #: Without a lease.
    APPLYING = auto()
    #: With a lease, and not in the view.
    STANDING = auto()
    #: A member of the view.
    SERVING = auto()
    #: The member that leads the view.
    LEADING = auto()


def membership_state(has_lease: bool, is_in_view: bool, is_leader: bool) -> MembershipState:
    """Return the state that follows from what is known; all transitions are here.

    The state depends on nothing else, so that no order of changes can lead to a wrong one:

    ============================  ==============================================
    transition                    cause
    ============================  ==============================================
    APPLYING -> STANDING          the store has given us a lease
    STANDING -> SERVING, LEADING  a view has our incarnation as a member
    SERVING -> LEADING            the view names us and we hold the leader key
    LEADING -> SERVING            another member leads, or the leader key is lost
    SERVING, LEADING -> STANDING  a view has left us out
    any -> APPLYING               the lease has ended, or we have stepped down
    ============================  ==============================================
    """
    if not has_lease:
        return MembershipState.APPLYING
    if not is_in_view:
        return MembershipState.STANDING
    return MembershipState.LEADING if is_leader else MembershipState.SERVING


class Membership:
    """Keeps our lease and member key, runs for leader, and as leader writes the views.

    A view is changed only by a transaction that is conditional on the leader key's revision and on the view's own
    revision: a leader whose lease ran out, or a late copy of its request, changes nothing.

    Parameters
    ----------
    store
        The client of the key-value store.
    watch_cache
        The copy of the live keys.
    member
        Our name in the settings.
    incarnation
        A name of this process that no other process has.
    controllers
        The number of controllers in the settings.
    on_view
        Called when a view has been taken.
    """

    def __init__(
        self,
        store: KeyValueStore,
        watch_cache: WatchCache,
        member: str,
        incarnation: str,
        controllers: int,
        on_view: Callable[[], None],
    ) -> None:
        self._store = store
        self._watch_cache = watch_cache
        self._runtime = store.runtime
        self.member = member
        #: The name under which we are or can be a member, another one after each lost lease.
        self.incarnation = incarnation
        self._process = incarnation
        self._lost_leases = 0
        self._controllers = controllers
        self._on_view = on_view
        self.state = MembershipState.APPLYING
        self.view: View | None = None
        #: The revision of the view's record, 0 without one.
        self.view_revision = 0
        self._lease = MemberLease(store, self._lose_lease)
        #: Whether we gave up our place, and do not apply for another before `resume`.
        self.has_stepped_down = False
        self._registered: dict[str, str] = {}
        self._leader: dict[str, str] | None = None
        #: Whether a request for a lease or a transaction is under way.
        self._busy = False
        self._gathering_since: timedelta | None = None

    @property
    def is_serving(self) -> bool:
        """Whether we are a member of the current view, leading or not."""
        return self.state in (MembershipState.SERVING, MembershipState.LEADING)

    @property
    def is_leading(self) -> bool:
        """Whether we lead the current view."""
        return self.state is MembershipState.LEADING

    @property
    def is_leaderless(self) -> bool:
        """Whether no controller holds the leader key."""
        return self._leader is None

    @property
    def lease_kept_at(self) -> timedelta | None:
        """When the last request was sent that found our lease alive, on the monotonic clock.

        Until `LEASE_TIMEOUT` after it no view leaves us out. None without a lease.
        """
        return self._lease.confirmed_at

    def start(self) -> None:
        """Begin to apply for a lease and a place in the view; repeats until the process ends."""
        self._step()

    def step_down(self) -> None:
        """Give up our place at once, so that others can take over the machines that we can't reach."""
        lease_id = self._lease.lease_id
        if lease_id is not None:
            self.has_stepped_down = True
            self._lose_lease()
            self._store.revoke_lease(lease_id)

    def resume(self) -> None:
        """Apply for a place again after `step_down`."""
        self.has_stepped_down = False

    # What the watch cache shows.

    def on_change(self, key: str, value: Any, mod_revision: int) -> None:
        """Take a change of the view, the leader key or a member key; `value` is None for a deleted key."""
        if key == VIEW_KEY:
            self._take_view(value, mod_revision)
        elif key == LEADER_KEY:
            self._leader = value if isinstance(value, dict) else None
            self._update_state()
        elif key.startswith(MEMBER_PREFIX):
            self._take_member(key.removeprefix(MEMBER_PREFIX), value)

    def _take_view(self, value: Any, mod_revision: int) -> None:
        try:
            view = decode_view(value)
        except MalformedViewError as error:
            log.error("broken view record: error=%r", str(error))
            return
        self.view = view
        self.view_revision = mod_revision
        members = ", ".join(view.members)
        log.info("view changed: view=%d leader=%s members=%r", view.number, view.leader, members)
        self._update_state()
        self._on_view()

    def _take_member(self, name: str, value: Any) -> None:
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

    def _may_take_leader_key(self) -> bool:
        """Tell whether nobody else can hold the leader key.

        An earlier incarnation of our own member has ended for sure, so its key need not expire.
        """
        return self._leader is None or (self._leader.get("member") == self.member and not self._holds_leader_key())

    # What we do about it.

    def _step(self) -> None:
        self._runtime.after(STEP_INTERVAL, self._step)
        if self._watch_cache.current_as_of is None:
            return
        self._maintain_lease()
        if self._lease.lease_id is not None and not self._busy:
            self._maintain_place(self._lease.lease_id)

    def _maintain_lease(self) -> None:
        if self._lease.lease_id is not None:
            self._lease.keep_alive_if_due()
        elif not self.has_stepped_down and not self._busy:
            self._busy = True
            self._lease.create(self._on_lease_reply)

    def _on_lease_reply(self) -> None:
        self._busy = False
        self._update_state()

    def _lose_lease(self) -> None:
        """Continue as another incarnation after the lease ended.

        Our key is gone, so any leader may leave us out from now on. As the old incarnation ends here, a member that was
        left out was last found alive `LEASE_TIMEOUT` before, under that name.
        """
        self._lost_leases += 1
        self.incarnation = f"{self._process}.{self._lost_leases}"
        log.info("lease lost: incarnation=%s", self.incarnation)
        self._lease.forget()
        self._update_state()

    def _maintain_place(self, lease_id: int) -> None:
        """Register, run for leader, or as leader bring the view up to date."""
        if self._registered.get(self.member) != self.incarnation:
            self._put_under_lease(MEMBER_PREFIX + self.member, {"inc": self.incarnation}, lease_id)
        elif self._may_take_leader_key():
            self._put_under_lease(LEADER_KEY, {"member": self.member, "inc": self.incarnation}, lease_id)
        elif self._holds_leader_key():
            self._update_view()

    def _put_under_lease(self, key: str, value: dict[str, str], lease_id: int) -> None:
        """Write a key that is deleted when our lease ends, if it has not changed since our copy of it."""
        conditions = {key: self._watch_cache.mod_revision(key)}
        self._commit(Transaction(conditions=conditions, puts=[Put(key, value, lease_id)]))

    def _update_view(self) -> None:
        """As leader, write a new view when members came, went or restarted."""
        view = self.view
        if view is not None and view.leader == self.member and view.members == self._registered:
            self._gathering_since = None
            return
        if self.member not in self._registered or self._is_gathering():
            return
        value = encode_view(next_view(view, self.member, self._registered))
        conditions = {LEADER_KEY: self._watch_cache.mod_revision(LEADER_KEY), VIEW_KEY: self.view_revision}
        self._commit(Transaction(conditions=conditions, puts=[Put(VIEW_KEY, value)]))

    def _is_gathering(self) -> bool:
        """Tell whether the view waits for more controllers.

        When the whole service starts, a moment's patience spares a view for each member.
        """
        known = self.view.members if self.view is not None else {}
        if len(self._registered) >= self._controllers or set(known) & set(self._registered):
            return False
        self._gathering_since = self._gathering_since or self._runtime.now
        return self._runtime.now - self._gathering_since < GATHER_TIMEOUT

    def _commit(self, transaction: Transaction) -> None:
        self._busy = True

        def on_result(result: TransactionResult) -> None:
            self._busy = False
            if result.is_applied:
                self._watch_cache.apply_commit(transaction, result.commit_revision)
            else:
                self._lease.check_soon()

        self._store.commit(transaction, on_result)
