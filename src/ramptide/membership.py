"""Who belongs to the service, who leads it, and the numbered views that everything else is conditional on."""

import hashlib
import logging
from collections.abc import Callable
from datetime import timedelta
from enum import Enum, auto
from typing import Any

import msgspec

from ramptide.mirror import Mirror
from ramptide.store import Store, Transaction, TransactionResult

log = logging.getLogger(__name__)

VIEW = "live/view"
LEADER = "live/leader"
MEMBER = "live/member/"
LEASE_TIMEOUT = timedelta(seconds=4)
KEEP_ALIVE_INTERVAL = timedelta(seconds=0.9)
STEP = timedelta(seconds=0.25)
GATHER = timedelta(seconds=1)


class View(msgspec.Struct, frozen=True):
    """A numbered set of members. The number is the token of the workers' commands.

    `lingering` holds members of earlier views of which nobody has proof that they ended: until their
    authority has run out they may still renew leases under an older token.
    """

    number: int
    leader: str
    members: dict[str, str]
    lingering: dict[str, str] = {}


class State(Enum):
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
        store: Store,
        mirror: Mirror,
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
        self._losses = 0
        self._nodes = nodes
        self._changed = changed
        self.state = State.APPLYING
        self.view: View | None = None
        self.view_revision = 0
        self._lease_id: int | None = None
        self._kept_alive_at = timedelta(0)
        self.resting = False
        #: When the last request was sent that found our grant alive: until `LIFE` after it nobody leaves us out.
        self.kept: timedelta | None = None
        self._members: dict[str, str] = {}
        self._leader: dict[str, str] | None = None
        self._busy = False
        self._gather_from: timedelta | None = None

    @property
    def serving(self) -> bool:
        """Whether we are a member of the current view, leading or not."""
        return self.state in (State.SERVING, State.LEADING)

    @property
    def leading(self) -> bool:
        """Whether we lead the current view."""
        return self.state is State.LEADING

    @property
    def leaderless(self) -> bool:
        """Whether no controller holds the leader key."""
        return self._leader is None

    def start(self) -> None:
        """Begin to apply for a grant and a place in the view; repeats until the process ends."""
        self._tick()

    # What the mirror tells.

    def on_change(self, key: str, value: Any, mod_revision: int) -> None:
        """Take a change of the view, the leader key or a member key; `value` is None for a deleted key."""
        if key == VIEW:
            self._take_view(value, mod_revision)
        elif key == LEADER:
            self._leader = value if isinstance(value, dict) else None
            self._judge()
        elif key.startswith(MEMBER):
            name = key[len(MEMBER) :]
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
        self._judge()
        self._changed()

    def _judge(self) -> None:
        """Derive our state from the grant, the view and the leader key."""
        mine = self.view is not None and self.view.members.get(self.member) == self.incarnation
        if self._lease_id is None:
            wanted = State.APPLYING
        elif not mine:
            wanted = State.STANDING
        elif self.view is not None and self.view.leader == self.member and self._holds_leader():
            wanted = State.LEADING
        else:
            wanted = State.SERVING
        if wanted is not self.state:
            self._become(wanted)

    def _become(self, state: State) -> None:
        log.info("membership: %s -> %s", self.state.name.lower(), state.name.lower())
        self.state = state

    def _holds_leader(self) -> bool:
        return self._leader is not None and self._leader.get("inc") == self.incarnation

    # What we do about it.

    def _tick(self) -> None:
        self._context.after(STEP, self._tick)
        if self._mirror.proof is None:
            return
        if self._lease_id is None:
            if not self.resting:
                self._apply()
        elif self._context.now - self._kept_alive_at >= KEEP_ALIVE_INTERVAL:
            self._keep_alive()
        if self._lease_id is None or self._busy:
            return
        if self._members.get(self.member) != self.incarnation:
            self._stand()
        elif self._leader is None or self._leader.get("member") == self.member and not self._holds_leader():
            # An earlier incarnation of our own member has ended for sure, so its key need not run out.
            self._run_for_leader()
        elif self._holds_leader():
            self._review()

    def _apply(self) -> None:
        if self._busy:
            return
        self._busy = True
        sent = self._context.now

        def done(lease_id: int | None) -> None:
            self._busy = False
            self._lease_id = lease_id
            if lease_id is not None:
                self.kept = sent
            self._kept_alive_at = self._context.now
            self._judge()

        self._store.create_lease(LEASE_TIMEOUT, done)

    def _keep_alive(self) -> None:
        sent = self._kept_alive_at = self._context.now
        lease_id = self._lease_id
        assert lease_id is not None

        def done(alive: bool | None) -> None:
            if alive and self._lease_id == lease_id:
                self.kept = sent
            if alive is False and self._lease_id == lease_id:
                self._lose_lease()
            elif alive is None:
                self._kept_alive_at = min(self._kept_alive_at, self._context.now - KEEP_ALIVE_INTERVAL + STEP)

        self._store.keep_lease_alive(lease_id, done)

    def _lose_lease(self) -> None:
        """Continue as another incarnation after the grant ended.

        Our key is gone, so any leader may leave us out from now on. As the old incarnation ends here, a member that was
        left out was last found alive `LIFE` before, under that name.
        """
        self._losses += 1
        self.incarnation = f"{self._process}.{self._losses}"
        log.info("our grant is over: we go on as %s", self.incarnation)
        self._lease_id = self.kept = None
        self._judge()

    def step_down(self) -> None:
        """Give up our place at once, so that others can take over the machines that we can't reach.

        We apply again when `resting` is reset.
        """
        lease_id = self._lease_id
        if lease_id is not None:
            self.resting = True
            self._lose_lease()
            self._store.revoke_lease(lease_id)

    def _commit(self, transaction: Transaction) -> None:
        self._busy = True

        def done(outcome: TransactionResult) -> None:
            self._busy = False
            if outcome.revision is not None:
                self._mirror.applied(outcome.revision, transaction.puts, transaction.deletes)
            else:
                # Perhaps for want of a grant: the next touch tells.
                self._kept_alive_at = min(self._kept_alive_at, self._context.now - KEEP_ALIVE_INTERVAL)

        self._store.commit(transaction, done)

    def _stand(self) -> None:
        key = MEMBER + self.member
        self._commit(
            Transaction(
                conditions={key: self._mirror.mod_revision(key)},
                puts=[(key, {"inc": self.incarnation}, self._lease_id)],
            )
        )

    def _run_for_leader(self) -> None:
        value = {"member": self.member, "inc": self.incarnation}
        self._commit(
            Transaction(conditions={LEADER: self._mirror.mod_revision(LEADER)}, puts=[(LEADER, value, self._lease_id)])
        )

    def _review(self) -> None:
        """As leader, write a new view when members came, went or restarted."""
        view = self.view
        if view is not None and view.leader == self.member and view.members == self._members:
            self._gather_from = None
            return
        if self.member not in self._members:
            return
        known = view.members if view is not None else {}
        if len(self._members) < self._nodes and not set(known) & set(self._members):
            # A start of the whole service: a moment's patience spares a view for each member.
            self._gather_from = self._gather_from or self._context.now
            if self._context.now - self._gather_from < GATHER:
                return
        lingering = dict(view.lingering) | known if view is not None else {}
        # A member that stands with a new incarnation has proven the end of its old one.
        lingering = {name: incarnation for name, incarnation in lingering.items() if name not in self._members}
        number = view.number + 1 if view is not None else 1
        new = View(number, self.member, dict(self._members), lingering)
        transaction = Transaction(
            conditions={LEADER: self._mirror.mod_revision(LEADER), VIEW: self.view_revision},
            puts=[(VIEW, msgspec.to_builtins(new), None)],
        )
        self._commit(transaction)
