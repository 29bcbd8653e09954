"""The leader's split of the team limits: when it is worked out anew, from what, and what is told with it."""

from datetime import timedelta
from typing import TYPE_CHECKING

from ramptide.allowances import Allowances, ProportionalSplit, SplitPolicy
from ramptide.amounts import NO_LIMIT, Amounts, Grants, add_amounts, use_from_wire
from ramptide.job_scheduler import JobScheduler
from ramptide.membership import View
from ramptide.peers import PeerMessage

if TYPE_CHECKING:
    from ramptide.app import Controller

#: The split is worked out anew so often at most.
DIVIDE_EVERY = timedelta(milliseconds=150)
AT_ONCE = timedelta(0)


class LimitSplit:
    """Splits the limits among the members of a view, as its leader."""

    def __init__(self, controller: "Controller") -> None:
        self._c = controller
        self._allowances: Allowances | None = None
        # The last split, and the jobs that it takes as taken over by us: always told together.
        self._granted: dict[str, Grants] = {}
        self.took: list[str] = []
        self._divided_at = timedelta(0)

    def new_view(self, view: View | None) -> None:
        """Start anew; `view` is None when we have no place in it."""
        self._granted, self.took = {}, []
        self._allowances = Allowances(self._c.limits, sorted(view.members)) if view is not None else None

    def granted(self, member: str) -> Grants | None:
        """Return what the last split grants a member; None before the first one."""
        return self._granted.get(member)

    def acknowledged(self, member: str, seq: int) -> None:
        """Note that a member acts on the grants of our message `seq`."""
        if self._allowances is not None and seq:
            self._allowances.acknowledged(member, seq)

    def limits_changed(self) -> None:
        """Split by the controller's limits as they are now."""
        if self._allowances is not None:
            self._allowances.change_limits(self._c.limits)

    def within(self, team: str, limit: Amounts) -> bool:
        """Tell whether the shares that members may still act on are together within a limit."""
        if self._allowances is None or not self._granted:
            return False
        offsets = self._c.quota.offsets() if self._c.quota is not None else {}
        held = [self._allowances.most(member, team, offsets) for member in self._granted]
        return all(most == NO_LIMIT or sum(one[side] for one in held) <= most for side, most in enumerate(limit))

    def update(self, scheduler: JobScheduler, view: View, now: timedelta) -> None:
        """As leader, split the limits anew; controllers whose share changes hear at once."""
        c = self._c
        if not c.membership.leading or now - self._divided_at < DIVIDE_EVERY:
            return
        self._divided_at = now
        self.took = self._taken_over(scheduler, view)
        before, self._granted = self._granted, self._divide(scheduler, view)
        for name, new in self._granted.items():
            if name in c.peers.all and new != before.get(name):
                c.peers.send_within(c.peers.all[name], AT_ONCE)

    def _taken_over(self, scheduler: JobScheduler, view: View) -> list[str]:
        """Return jobs that were handed over to us and whose tasks we count now.

        Only those that their former scheduler's last message shows as handed over: in an older message it counts them
        among its own, and the grant sent with this would cover them twice.
        """
        found = []
        for job_state in scheduler.jobs.values():
            handover = job_state.job.record.handover
            if handover is not None and handover.view == view.number:
                message = self._c.peers.last_message(handover.member)
                job_id = job_state.job.job_id
                if message is not None and job_id in message.usage_in_transfer and self._c.ready(job_state):
                    found.append(job_id)
        return found

    def _divide(self, scheduler: JobScheduler, view: View) -> dict[str, Grants]:
        """Return the split; empty until every member has all information."""
        c = self._c
        assert self._allowances is not None
        others = self._messages(view)
        if others is None:
            return {}
        using = {c.member: scheduler.usage()} | {message.member: self._use_of(message) for message in others}
        offsets = c.quota.offsets() if c.quota is not None else None
        # Told with the messages from the next one on: none that bears its number has left yet.
        grants = self._allowances.divide(scheduler.seq + 1, using, self._policy(scheduler, others), c.member, offsets)
        self._allowances.acknowledged(c.member, scheduler.seq + 1)
        c.take_grants(grants[c.member])
        return grants

    def _messages(self, view: View) -> list[PeerMessage] | None:
        """Return the last message of each other member; None while one of them, or we, lacks information."""
        if not self._c.latched:
            return None
        found = []
        for member in view.members:
            if member == self._c.member:
                continue
            message = self._c.peers.last_message(member)
            if message is None or not message.reconciled:
                return None
            found.append(message)
        return found

    def _use_of(self, message: PeerMessage) -> Grants:
        """Return what a member uses, with what it handed over and nobody else counts yet."""
        using = use_from_wire(message.usage)
        for job_id, held in message.usage_in_transfer.items():
            for team, amounts in use_from_wire(held).items() if job_id not in self.took else ():
                add_amounts(using, team, amounts)
        return using

    def _policy(self, scheduler: JobScheduler, others: list[PeerMessage]) -> SplitPolicy:
        policy = self._c.quota.split_policy() if self._c.quota is not None else None
        if policy is not None:
            return policy
        asking = {self._c.member: self._c.knowledge.asking(scheduler)}
        return ProportionalSplit(asking | {message.member: use_from_wire(message.demand) for message in others})
