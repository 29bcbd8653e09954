"""Ledgers, the leader's split and its account book against a plain model: all accounts in one place."""

import random
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ramptide.quota.fitting import FittingSplit
from ramptide.quota.ledger import AccountBook, Ledger, LedgerError, TransferState
from ramptide.quota.messages import AccountRow, QuotaMessageError, TaskDemand, TransferRow, decode_quota_message
from ramptide.quota.planner import max_usable
from ramptide.state.amounts import NO_LIMIT, UNITS_PER_WHOLE, ZERO_AMOUNTS, Amounts, add_amounts, tasks_within
from ramptide.team_limits.share_allocator import ShareAllocator
from ramptide.team_limits.split_policy import ProportionalSplit, SplitPolicy

MEMBERS = ["a", "b", "c"]
LIMIT = Amounts(20 * UNITS_PER_WHOLE, 6 * UNITS_PER_WHOLE)
TEAM = "t"
TASK = Amounts(2 * UNITS_PER_WHOLE, UNITS_PER_WHOLE)


class Member:
    """A member that starts all that it may, and what its leader last heard of it."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.ledger = Ledger([other for other in MEMBERS if other != name], {TEAM: LIMIT})
        self.granted, self.seen = ZERO_AMOUNTS, 0
        self.using = ZERO_AMOUNTS
        self.waiting = 0
        self.told = (ZERO_AMOUNTS, 0, 0)

    @property
    def permit(self) -> Amounts:
        return self.ledger.permitted_share(TEAM, self.granted)

    @property
    def spare(self) -> Amounts:
        return Amounts(*(one - used for one, used in zip(self.permit, self.using, strict=True)))

    def start(self) -> None:
        if self.waiting and tasks_within(self.spare, TASK):
            self.using = Amounts(*(one + more for one, more in zip(self.using, TASK, strict=True)))
            self.waiting -= 1

    def end(self) -> None:
        if any(self.using):
            self.using = Amounts(*(one - less for one, less in zip(self.using, TASK, strict=True)))

    def rows(self) -> list[AccountRow]:
        return self.ledger.account_rows([TEAM])


class Cluster:
    """Messages are delivered when the history says so: late, again, or never."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.members = {name: Member(name) for name in MEMBERS}
        self.leader = ShareAllocator({TEAM: LIMIT}, MEMBERS)
        self.book = AccountBook()
        self.seq = 0
        self.grants: dict[str, list[tuple[int, Amounts]]] = {name: [] for name in MEMBERS}
        self.transfers: list[tuple[str, str, list[TransferRow]]] = []

    def divide(self, in_proportion: bool = False) -> None:
        self.seq += 1
        waiting = {
            name: {TEAM: [TaskDemand(*TASK, told[1])] if told[1] else []}
            for name, told in ((one.name, one.told) for one in self.members.values())
        }
        policy: SplitPolicy = FittingSplit(waiting)
        if in_proportion:
            asking = {name: {TEAM: TASK.times(self.members[name].told[1])} for name in MEMBERS}
            policy = ProportionalSplit(asking)
        using = {name: {TEAM: one.told[0]} for name, one in self.members.items()}
        grants = self.leader.divide(self.seq, using, policy, "a", self.book.offsets())
        for name in MEMBERS:
            self.grants[name].append((self.seq, grants[name][TEAM]))

    def deliver_share(self, member: Member) -> None:
        """Only a newer one is taken, as the numbers of messages see to."""
        if self.grants[member.name]:
            seq, grant = self.rng.choice(self.grants[member.name])
            if seq > member.seen:
                member.seen, member.granted = seq, grant

    def report(self, member: Member) -> None:
        """The leader hears of use, grants and accounts at once, as one message carries them."""
        member.told = (member.using, member.waiting, member.seen)
        self.leader.record_acknowledgement(member.name, member.seen)
        self.book.apply_account(member.name, member.rows())

    def give(self, member: Member) -> None:
        receiver = self.rng.choice([name for name in MEMBERS if name != member.name])
        fits = tasks_within(member.spare, TASK) or 0
        if fits:
            member.ledger.issue_transfer(receiver, TEAM, TASK.times(self.rng.randint(1, fits)), member.spare)

    def send(self, member: Member) -> None:
        receiver = self.rng.choice([name for name in MEMBERS if name != member.name])
        self.transfers.append((member.name, receiver, member.ledger.rows_to_send(receiver)))

    def deliver(self, member: Member) -> None:
        """Any message that was ever sent to the member, an old one and a repeated one too."""
        mine = [one for one in self.transfers if one[1] == member.name]
        if mine:
            giver, _, rows = self.rng.choice(mine)
            try:
                member.ledger.receive_transfers(giver, rows)
            except QuotaMessageError:
                assert rows[0].number > member.ledger.last_received(giver) + 1

    def confirm(self, member: Member) -> None:
        for other in MEMBERS:
            if other != member.name:
                self.members[other].ledger.confirm(member.name, member.ledger.last_received(other))

    def under_way(self) -> dict[str, Amounts]:
        """What was given to each member and not taken yet, from all ledgers at once."""
        total = dict.fromkeys(MEMBERS, ZERO_AMOUNTS)
        for member in self.members.values():
            for row in member.rows():
                add_amounts(total, row.member, row.given)
                add_amounts(total, member.name, row.taken.times(-1))
        return total

    def check(self) -> None:
        """A share below zero stands for what the leader took back of a transfer that has not arrived yet."""
        under_way = self.under_way()
        for side in (0, 1):
            held = [max(one.permit[side] + under_way[one.name][side], one.using[side]) for one in self.members.values()]
            assert sum(held) <= LIMIT[side]
            assert sum(one.using[side] for one in self.members.values()) <= LIMIT[side]
            assert min(amounts[side] for amounts in under_way.values()) >= 0

    def quiet(self) -> None:
        """Everything arrives, until nothing changes any more."""
        for _ in range(8):
            for member in self.members.values():
                for receiver in MEMBERS:
                    if receiver != member.name:
                        self.members[receiver].ledger.receive_transfers(
                            member.name, member.ledger.rows_to_send(receiver)
                        )
            for member in self.members.values():
                self.confirm(member)
                self.report(member)
            self.divide()
            for member in self.members.values():
                member.seen, member.granted = self.grants[member.name][-1]


EVENTS = ["ask", "start", "start", "end", "divide", "grant", "report", "give", "send", "deliver", "confirm"]


def play(seed: int, events: list[tuple[str, str]]) -> Cluster:
    cluster = Cluster(seed)
    actions: dict[str, Any] = {
        "start": Member.start, "end": Member.end, "grant": cluster.deliver_share, "report": cluster.report,
        "give": cluster.give, "send": cluster.send, "deliver": cluster.deliver, "confirm": cluster.confirm,
    }  # fmt: skip
    for name, event in events:
        member = cluster.members[name]
        if event == "ask":
            member.waiting += 3
        elif event == "divide":
            cluster.divide(in_proportion=cluster.rng.random() < 0.3)
        else:
            actions[event](member)
        cluster.check()
    return cluster


@settings(derandomize=True, max_examples=300, deadline=None)
@given(st.integers(0, 1000), st.lists(st.tuples(st.sampled_from(MEMBERS), st.sampled_from(EVENTS)), max_size=150))
def test_held_and_under_way_are_never_above_the_limit(seed: int, events: list[tuple[str, str]]) -> None:
    cluster = play(seed, events)
    cluster.quiet()
    cluster.check()
    assert not any(map(any, cluster.under_way().values()))
    # Nothing is lost for ever: all that is not used is in some member's share again.
    for side in (0, 1):
        assert sum(one.permit[side] for one in cluster.members.values()) == LIMIT[side]


def drawn(seed: int) -> list[tuple[str, str]]:
    rng = random.Random(seed)
    return [(rng.choice(MEMBERS), rng.choice(EVENTS)) for _ in range(300)]


@pytest.mark.parametrize("seed", [1309, 1687])
def test_a_member_is_not_granted_what_it_used_before_it_passed_share_on(seed: int) -> None:
    """Its use was told before the transfer, and the receiver's account after it: both together are above the limit."""
    play(seed, drawn(seed))


def play_seeds(count: int) -> None:
    for seed in range(count):
        play(seed, drawn(seed))


def test_without_the_deduction_before_sending_the_limit_is_passed(monkeypatch: pytest.MonkeyPatch) -> None:
    give = Ledger.issue_transfer

    def careless(self: Ledger, receiver: str, team: str, amounts: Amounts, spare: Amounts) -> Any:
        transfer = give(self, receiver, team, amounts, spare)
        self._balance[team] = Amounts(*(one + two for one, two in zip(self._balance[team], amounts, strict=True)))
        return transfer

    play_seeds(20)
    monkeypatch.setattr(Ledger, "issue_transfer", careless)
    with pytest.raises(AssertionError):
        play_seeds(20)


def test_without_the_account_book_the_leader_gives_what_was_passed_on(monkeypatch: pytest.MonkeyPatch) -> None:
    """A leader that took the receiver's word alone would count a transfer for nobody until that has told."""

    def forgetful(self: AccountBook, member: str, rows: list[AccountRow]) -> None:
        for row in rows:
            self._offsets.setdefault(member, {})[TEAM] = Amounts(
                *(taken - given for taken, given in zip(row.taken, row.given, strict=True))
            )

    monkeypatch.setattr(AccountBook, "apply_account", forgetful)
    with pytest.raises(AssertionError):
        play_seeds(20)


def pair() -> tuple[Ledger, Ledger]:
    return Ledger(["b"], {TEAM: LIMIT}), Ledger(["a"], {TEAM: LIMIT})


def test_a_transfer_counts_once_however_often_it_arrives() -> None:
    giver, receiver = pair()
    transfer = giver.issue_transfer("b", TEAM, TASK, LIMIT)
    assert transfer.state is TransferState.DEDUCTED
    assert giver.balance(TEAM) == TASK.times(-1)
    rows = giver.rows_to_send("b")
    assert transfer.state is TransferState.SENT
    assert giver.has_unconfirmed("b", TEAM)
    assert giver.in_transfer(TEAM) == TASK
    assert receiver.receive_transfers("a", rows) == rows
    assert receiver.receive_transfers("a", rows) == []
    assert receiver.balance(TEAM) == TASK
    assert [one.state for one in giver.confirm("b", receiver.last_received("a"))] == [TransferState.TAKEN]
    assert not giver.has_unconfirmed("b", TEAM)
    assert giver.rows_to_send("b") == []
    assert giver.confirm("b", 1) == []
    with pytest.raises(LedgerError):
        giver.issue_transfer("b", TEAM, TASK, ZERO_AMOUNTS)
    with pytest.raises(LedgerError):
        giver.issue_transfer("b", TEAM, ZERO_AMOUNTS, LIMIT)


@pytest.mark.parametrize(
    "row",
    [
        TransferRow(1, "nobody", UNITS_PER_WHOLE, 0),
        TransferRow(1, TEAM, LIMIT.cpus + 1, 0),
        TransferRow(1, TEAM, 0, 0),
        TransferRow(2, TEAM, UNITS_PER_WHOLE, 0),
        TransferRow(1, "cores only", UNITS_PER_WHOLE, 1),
    ],
    ids=["unknown team", "above the limit", "empty", "one before it is missing", "of what has no limit"],
)
def test_transfers_that_cannot_be_are_refused_as_a_whole(row: TransferRow) -> None:
    ledger = Ledger(["a"], {TEAM: LIMIT, "cores only": Amounts(5 * UNITS_PER_WHOLE, NO_LIMIT)})
    good = TransferRow(row.number + 1, TEAM, UNITS_PER_WHOLE, 0)
    with pytest.raises(QuotaMessageError):
        ledger.receive_transfers("a", [row, good])
    assert ledger.balance(TEAM) == ZERO_AMOUNTS
    assert ledger.last_received("a") == 0
    with pytest.raises(QuotaMessageError):
        ledger.confirm("a", 1)


MESSAGE = {"version": 1, "view": 3, "sender": "a", "incarnation": "a-1", "receiver": "b"}


@pytest.mark.parametrize(
    "change",
    [
        {"version": 2}, {"version": None}, {"view": -1}, {"confirmed": 2**80}, {"transfers": [[1, TEAM, -1, 0]]},
        {"transfers": [[1, TEAM, 2**70, 0]]}, {"transfers": [[1, TEAM, 1.5, 0]]}, {"transfers": [[1, TEAM]]},
        {"transfers": {"1": 2}}, {"short": {TEAM: [[1, 1, -1]]}}, {"accounts": [["b", TEAM, 0, 0, 0, -5]]},
        {"sender": 7},
    ],
    ids=str,
)  # fmt: skip
def test_messages_that_cannot_be_are_refused(change: dict[str, Any]) -> None:
    assert decode_quota_message(MESSAGE).sender == "a"
    with pytest.raises(QuotaMessageError):
        decode_quota_message(MESSAGE | change)


@pytest.mark.parametrize("value", [None, [], 5, "x", {}])
def test_what_is_no_message_is_refused(value: Any) -> None:
    with pytest.raises(QuotaMessageError):
        decode_quota_message(value)


@settings(derandomize=True, max_examples=150, deadline=None)
@given(
    st.dictionaries(
        st.sampled_from(MEMBERS), st.builds(TaskDemand, st.integers(1, 9), st.integers(0, 4), st.integers(1, 6))
    ),
    st.builds(Amounts, st.integers(1, 40), st.integers(1, 20)),
)
def test_a_split_in_whole_tasks_leaves_no_room_in_which_a_task_fits(
    waiting: dict[str, TaskDemand], limit: Amounts
) -> None:
    policy = FittingSplit({name: {TEAM: [demand]} for name, demand in waiting.items()})
    targets = policy.targets(TEAM, limit, dict.fromkeys(MEMBERS, ZERO_AMOUNTS))
    given = Amounts(sum(one.cpus for one in targets.values()), sum(one.gpus for one in targets.values()))
    assert given.cpus <= limit.cpus
    assert given.gpus <= limit.gpus
    left = Amounts(limit.cpus - given.cpus, limit.gpus - given.gpus)
    for name, demand in waiting.items():
        tasks = targets[name].cpus // demand.cpus
        assert targets[name] == demand.size.times(tasks)
        assert tasks <= demand.count
        assert tasks == demand.count or not tasks_within(left, demand.size)
    assert sum(given) <= sum(max_usable(limit, list(waiting.values()))), "the oracle is the best there is"
