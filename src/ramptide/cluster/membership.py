"""Who belongs to the service, who leads it, and the numbered views that everything else is conditional on."""

import hashlib
import logging
from collections.abc import Callable
from datetime import timedelta
from enum import Enum, auto
from typing import Any

import msgspec

from ramptide.clients.key_value_store import KeyValueStore, LeaseStatus
from ramptide.clients.transactions import Put, Transaction, TransactionResult
from ramptide.state.watch_cache import WatchCache

log = logging.getLogger(__name__)

VIEW_KEY = "live/view"
LEADER_KEY = "live/leader"
MEMBER_PREFIX = "live/member/"
LEASE_TIMEOUT = timedelta(seconds=4)
KEEP_ALIVE_INTERVAL = timedelta(seconds=0.9)
STEP_INTERVAL = timedelta(seconds=0.25)
GATHER_TIMEOUT = timedelta(seconds=1)


class View(msgspec.Struct, frozen=True, rename={"unfenced": "lingering"}):
    """A numbered set of members. The number is the token of the workers' commands.

    `lingering` holds members of earlier views of which nobody has proof that they ended: until their
    authority has run out they may still renew leases under an older token.
    """

    number: int
    leader: str
    members: dict[str, str]
    unfenced: dict[str, str] = {}


class MembershipState(Enum):
    """Our place: without a grant, with a grant but not in the view, in the view, or leading it."""

    APPLYING = auto()
    STANDING = auto()
    SERVING = auto()
    LEADING = auto()


def owner_of(host: str, members: dict[str, str]) -> str:
    """Return the member with the highest hash for this machine: when members change, few machines move."""
    return max(members, key=lambda member: hashlib.blake2b(f"{member} {host}".encode(), digest_size=8).digest())


class Membership:
    """Keeps our grant and member key, runs for leader, and as leader writes the views.

    A view is changed only by a transaction that is conditional on the leader key's revision and on the view's own revision: a
    leader whose grant ran out, or a late copy of its request, changes nothing.
    """

    def __init__(
        self,
        store: KeyValueStore,
        mirror: WatchCache,
        member: str,
        incarnation: str,
        nodes: int,
        changed: Callable[[], None],
    ) -> None:
        self._store = store
        self._mirror = mirror
        self._context = store.runtime
        self.member = member
        self.incarnation = incarnation
        self._process = incarnation
        self._lost_leases = 0
        self._controllers = nodes
        self._on_view = changed
        self.state = MembershipState.APPLYING
        self.view: View | None = None
        self.view_revision = 0
        self._lease_id: int | None = None
        self._kept_alive_at = timedelta(0)
        self.is_resting = False
        #: When the last request was sent that found our grant alive: until `LIFE` after it nobody leaves us out.
        self.lease_kept_at: timedelta | None = None
        self._members: dict[str, str] = {}
        self._leader: dict[str, str] | None = None
        self._busy = False
        self._gather_from: timedelta | None = None

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

    def start(self) -> None:
        """Begin to apply for a grant and a place in the view; repeats until the process ends."""
        self._tick()

    # What the mirror tells.

    def on_change(self, key: str, value: Any, mod_revision: int) -> None:
        """Take a change of the view, the leader key or a member key; `value` is None for a deleted key."""
        if key == VIEW_KEY:
            self._take_view(value, mod_revision)
        elif key == LEADER_KEY:
            self._leader = value if isinstance(value, dict) else None
            self._update_state()
        elif key.startswith(MEMBER_PREFIX):
            name = key[len(MEMBER_PREFIX) :]
            if isinstance(value, dict):
                self._members[name] = str(value.get("inc"))
            else:
                self._members.pop(name, None)

    def _take_view(self, value: Any, mod_revision: int) -> None:
        try:
            self.view = msgspec.convert(value, View)
        except msgspec.ValidationError as error:
            log.error("broken view: %s", error)
            return
        self.view_revision = mod_revision
        log.info("view %d: leader %s, members %s", self.view.number, self.view.leader, ", ".join(self.view.members))
        self._update_state()
        self._on_view()

    def _update_state(self) -> None:
        """Derive our state from the grant, the view and the leader key."""
        mine = self.view is not None and self.view.members.get(self.member) == self.incarnation
        if self._lease_id is None:
            wanted = MembershipState.APPLYING
        elif not mine:
            wanted = MembershipState.STANDING
        elif self.view is not None and self.view.leader == self.member and self._holds_leader():
            wanted = MembershipState.LEADING
        else:
            wanted = MembershipState.SERVING
        if wanted is not self.state:
            self._become(wanted)

    def _become(self, state: MembershipState) -> None:
        log.info("membership: %s -> %s", self.state.name.lower(), state.name.lower())
        self.state = state

    def _holds_leader(self) -> bool:
        return self._leader is not None and self._leader.get("inc") == self.incarnation

    # What we do about it.

    def _tick(self) -> None:
        self._context.after(STEP_INTERVAL, self._tick)
        if self._mirror.current_as_of is None:
            return
        if self._lease_id is None:
            if not self.is_resting:
                self._apply_for_lease()
        elif self._context.now - self._kept_alive_at >= KEEP_ALIVE_INTERVAL:
            self._keep_alive()
        if self._lease_id is None or self._busy:
            return
        if self._members.get(self.member) != self.incarnation:
            self._register()
        elif self._leader is None or self._leader.get("member") == self.member and not self._holds_leader():
            # An earlier incarnation of our own member has ended for sure, so its key need not run out.
            self._run_for_leader()
        elif self._holds_leader():
            self._update_view()

    def _apply_for_lease(self) -> None:
        if self._busy:
            return
        self._busy = True
        sent = self._context.now

        def done(lease_id: int | None) -> None:
            self._busy = False
            self._lease_id = lease_id
            if lease_id is not None:
                self.lease_kept_at = sent
            self._kept_alive_at = self._context.now
            self._update_state()

        self._store.create_lease(LEASE_TIMEOUT, done)

    def _keep_alive(self) -> None:
        sent = self._kept_alive_at = self._context.now
        lease_id = self._lease_id
        assert lease_id is not None

        def done(status: LeaseStatus) -> None:
            if status is LeaseStatus.ALIVE and self._lease_id == lease_id:
                self.lease_kept_at = sent
            if status is LeaseStatus.EXPIRED and self._lease_id == lease_id:
                self._lose_lease()
            elif status is LeaseStatus.UNKNOWN:
                self._kept_alive_at = min(self._kept_alive_at, self._context.now - KEEP_ALIVE_INTERVAL + STEP_INTERVAL)

        self._store.keep_lease_alive(lease_id, done)

    def _lose_lease(self) -> None:
        """Continue as another incarnation after the grant ended.

        Our key is gone, so any leader may leave us out from now on. As the old incarnation ends here, a member that was
        left out was last found alive `LIFE` before, under that name.
        """
        self._lost_leases += 1
        self.incarnation = f"{self._process}.{self._lost_leases}"
        log.info("our grant is over: we go on as %s", self.incarnation)
        self._lease_id = self.lease_kept_at = None
        self._update_state()

    def step_down(self) -> None:
        """Give up our place at once, so that others can take over the machines that we can't reach.

        We apply again when `resting` is reset.
        """
        lease_id = self._lease_id
        if lease_id is not None:
            self.is_resting = True
            self._lose_lease()
            self._store.revoke_lease(lease_id)

    def _commit(self, transaction: Transaction) -> None:
        self._busy = True

        def done(outcome: TransactionResult) -> None:
            self._busy = False
            if outcome.is_applied:
                self._mirror.apply_commit(transaction, outcome.commit_revision)
            else:
                # Perhaps for want of a grant: the next touch tells.
                self._kept_alive_at = min(self._kept_alive_at, self._context.now - KEEP_ALIVE_INTERVAL)

        self._store.commit(transaction, done)

    def _register(self) -> None:
        key = MEMBER_PREFIX + self.member
        self._commit(
            Transaction(
                conditions={key: self._mirror.mod_revision(key)},
                puts=[Put(key, {"inc": self.incarnation}, self._lease_id)],
            )
        )

    def _run_for_leader(self) -> None:
        value = {"member": self.member, "inc": self.incarnation}
        self._commit(
            Transaction(
                conditions={LEADER_KEY: self._mirror.mod_revision(LEADER_KEY)},
                puts=[Put(LEADER_KEY, value, self._lease_id)],
            )
        )

    def _update_view(self) -> None:
        """As leader, write a new view when members came, went or restarted."""
        view = self.view
        if view is not None and view.leader == self.member and view.members == self._members:
            self._gather_from = None
            return
        if self.member not in self._members:
            return
        known = view.members if view is not None else {}
        if len(self._members) < self._controllers and not set(known) & set(self._members):
            # A start of the whole service: a moment's patience spares a view for each member.
            self._gather_from = self._gather_from or self._context.now
            if self._context.now - self._gather_from < GATHER_TIMEOUT:
                return
        lingering = dict(view.unfenced) | known if view is not None else {}
        # A member that stands with a new incarnation has proven the end of its old one.
        lingering = {name: incarnation for name, incarnation in lingering.items() if name not in self._members}
        number = view.number + 1 if view is not None else 1
        new = View(number, self.member, dict(self._members), lingering)
        transaction = Transaction(
            conditions={LEADER_KEY: self._mirror.mod_revision(LEADER_KEY), VIEW_KEY: self.view_revision},
            puts=[Put(VIEW_KEY, msgspec.to_builtins(new))],
        )
        self._commit(transaction)
