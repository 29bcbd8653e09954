"""Ledgers of transfers, the leader's split and its account book, checked against a model that knows all accounts.

Members and their leader could together exceed a team's limit: each of them acts on grants, reports and transfers that
may be late, repeated or lost. Other tests guard against invalid transfers and messages, and against a split that leaves
share unused in which a waiting task fits.
"""

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
TASK_AMOUNTS = Amounts(2 * UNITS_PER_WHOLE, UNITS_PER_WHOLE)


class Member:
    """A member that starts tasks within its share, and its last report to the leader."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.ledger = Ledger([other for other in MEMBERS if other != name], {TEAM: LIMIT})
        self.granted, self.granted_sequence_number = ZERO_AMOUNTS, 0
        self.usage = ZERO_AMOUNTS
        self.waiting_count = 0
        #: The usage, the number of waiting tasks and the sequence number of the grant that the leader knows.
        self.last_report = (ZERO_AMOUNTS, 0, 0)

    @property
    def permitted_share(self) -> Amounts:
        return self.ledger.permitted_share(TEAM, self.granted)

    @property
    def spare(self) -> Amounts:
        return Amounts(*(permitted - used for permitted, used in zip(self.permitted_share, self.usage, strict=True)))

    def start_task(self) -> None:
        if self.waiting_count and tasks_within(self.spare, TASK_AMOUNTS):
            self.usage = Amounts(*(used + added for used, added in zip(self.usage, TASK_AMOUNTS, strict=True)))
            self.waiting_count -= 1

    def end_task(self) -> None:
        if any(self.usage):
            self.usage = Amounts(*(used - released for used, released in zip(self.usage, TASK_AMOUNTS, strict=True)))

    def account_rows(self) -> list[AccountRow]:
        return self.ledger.account_rows([TEAM])


class Cluster:
    """The members and the leader of a view, whose messages arrive late, repeatedly or never, as the events say."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.members = {name: Member(name) for name in MEMBERS}
        self.allocator = ShareAllocator({TEAM: LIMIT}, MEMBERS)
        self.account_book = AccountBook()
        self.sequence_number = 0
        self.sent_grants: dict[str, list[tuple[int, Amounts]]] = {name: [] for name in MEMBERS}
        self.sent_transfers: list[tuple[str, str, list[TransferRow]]] = []

    def divide_limit(self, in_proportion: bool = False) -> None:
        self.sequence_number += 1
        waiting_demands = {
            name: {TEAM: [TaskDemand(*TASK_AMOUNTS, last_report[1])] if last_report[1] else []}
            for name, last_report in ((member.name, member.last_report) for member in self.members.values())
        }
        policy: SplitPolicy = FittingSplit(waiting_demands)
        if in_proportion:
            waiting_amounts = {name: {TEAM: TASK_AMOUNTS.times(self.members[name].last_report[1])} for name in MEMBERS}
            policy = ProportionalSplit(waiting_amounts)
        usage = {name: {TEAM: member.last_report[0]} for name, member in self.members.items()}
        grants = self.allocator.divide(self.sequence_number, usage, policy, "a", self.account_book.offsets())
        for name in MEMBERS:
            self.sent_grants[name].append((self.sequence_number, grants[name][TEAM]))

    def deliver_grant(self, member: Member) -> None:
        """Deliver any grant that was ever sent; the member applies it only if it is newer than the last one."""
        if self.sent_grants[member.name]:
            sequence_number, grant = self.rng.choice(self.sent_grants[member.name])
            if sequence_number > member.granted_sequence_number:
                member.granted_sequence_number, member.granted = sequence_number, grant

    def deliver_report(self, member: Member) -> None:
        """Deliver usage, acknowledgement and accounts to the leader together, as one message carries them."""
        member.last_report = (member.usage, member.waiting_count, member.granted_sequence_number)
        self.allocator.record_acknowledgement(member.name, member.granted_sequence_number)
        self.account_book.apply_account(member.name, member.account_rows())

    def issue_transfer(self, member: Member) -> None:
        receiver = self.rng.choice([name for name in MEMBERS if name != member.name])
        max_tasks = tasks_within(member.spare, TASK_AMOUNTS) or 0
        if max_tasks:
            member.ledger.issue_transfer(
                receiver, TEAM, TASK_AMOUNTS.times(self.rng.randint(1, max_tasks)), member.spare
            )

    def send_transfers(self, member: Member) -> None:
        receiver = self.rng.choice([name for name in MEMBERS if name != member.name])
        self.sent_transfers.append((member.name, receiver, member.ledger.rows_to_send(receiver)))

    def deliver_transfers(self, member: Member) -> None:
        """Deliver any message that was ever sent to the member, possibly an old one or one that has arrived before."""
        own_messages = [message for message in self.sent_transfers if message[1] == member.name]
        if own_messages:
            sender, _, rows = self.rng.choice(own_messages)
            try:
                member.ledger.receive_transfers(sender, rows)
            except QuotaMessageError:
                assert rows[0].number > member.ledger.last_received(sender) + 1

    def confirm_transfers(self, member: Member) -> None:
        for other in MEMBERS:
            if other != member.name:
                self.members[other].ledger.confirm(member.name, member.ledger.last_received(other))

    def in_transfer(self) -> dict[str, Amounts]:
        """Return what was passed to each member and has not arrived yet, from the ledgers of all members."""
        total = dict.fromkeys(MEMBERS, ZERO_AMOUNTS)
        for member in self.members.values():
            for row in member.account_rows():
                add_amounts(total, row.member, row.given)
                add_amounts(total, member.name, row.taken.times(-1))
        return total

    def check_limit(self) -> None:
        """Check that the shares of all members, with what is in transfer, are within the limit, and so is their usage.

        A share is below zero when the leader has already withdrawn share that is still on its way to the member.
        """
        in_transfer = self.in_transfer()
        for resource in (0, 1):
            held = [
                max(member.permitted_share[resource] + in_transfer[member.name][resource], member.usage[resource])
                for member in self.members.values()
            ]
            assert sum(held) <= LIMIT[resource]
            assert sum(member.usage[resource] for member in self.members.values()) <= LIMIT[resource]
            assert min(amounts[resource] for amounts in in_transfer.values()) >= 0

    def deliver_everything(self) -> None:
        """Deliver all messages in eight rounds, after which nothing changes any more."""
        for _ in range(8):
            for member in self.members.values():
                for receiver in MEMBERS:
                    if receiver != member.name:
                        self.members[receiver].ledger.receive_transfers(
                            member.name, member.ledger.rows_to_send(receiver)
                        )
            for member in self.members.values():
                self.confirm_transfers(member)
                self.deliver_report(member)
            self.divide_limit()
            for member in self.members.values():
                member.granted_sequence_number, member.granted = self.sent_grants[member.name][-1]


EVENTS = ["ask", "start", "start", "end", "divide", "grant", "report", "give", "send", "deliver", "confirm"]


def run_events(seed: int, events: list[tuple[str, str]]) -> Cluster:
    cluster = Cluster(seed)
    actions: dict[str, Any] = {
        "start": Member.start_task, "end": Member.end_task,
        "grant": cluster.deliver_grant, "report": cluster.deliver_report,
        "give": cluster.issue_transfer, "send": cluster.send_transfers,
        "deliver": cluster.deliver_transfers, "confirm": cluster.confirm_transfers,
    }  # fmt: skip
    for name, event in events:
        member = cluster.members[name]
        if event == "ask":
            member.waiting_count += 3
        elif event == "divide":
            cluster.divide_limit(in_proportion=cluster.rng.random() < 0.3)
        else:
            actions[event](member)
        cluster.check_limit()
    return cluster


@settings(derandomize=True, max_examples=300, deadline=None)
@given(st.integers(0, 1000), st.lists(st.tuples(st.sampled_from(MEMBERS), st.sampled_from(EVENTS)), max_size=150))
def test_shares_held_and_in_transfer_never_exceed_the_limit(seed: int, events: list[tuple[str, str]]) -> None:
    cluster = run_events(seed, events)
    cluster.deliver_everything()
    cluster.check_limit()
    assert not any(map(any, cluster.in_transfer().values()))
    # No share is lost: together the members hold the whole limit again.
    for resource in (0, 1):
        assert sum(member.permitted_share[resource] for member in cluster.members.values()) == LIMIT[resource]


def draw_events(seed: int) -> list[tuple[str, str]]:
    rng = random.Random(seed)
    return [(rng.choice(MEMBERS), rng.choice(EVENTS)) for _ in range(300)]


@pytest.mark.parametrize("seed", [1309, 1687])
def test_limit_is_not_exceeded_when_a_member_reported_usage_before_its_transfer(seed: int) -> None:
    """The leader must not grant the member what it used before it passed share on.

    The leader knows the usage from before the transfer and the receiver's account from after it; their sum is above the
    limit.
    """
    run_events(seed, draw_events(seed))


def run_drawn_events(count: int) -> None:
    for seed in range(count):
        run_events(seed, draw_events(seed))


def test_limit_is_exceeded_without_the_deduction_before_sending(monkeypatch: pytest.MonkeyPatch) -> None:
    issue_transfer = Ledger.issue_transfer

    def issue_without_deduction(self: Ledger, receiver: str, team: str, amounts: Amounts, spare: Amounts) -> Any:
        transfer = issue_transfer(self, receiver, team, amounts, spare)
        self._balance[team] = Amounts(
            *(balance + amount for balance, amount in zip(self._balance[team], amounts, strict=True))
        )
        return transfer

    run_drawn_events(20)
    monkeypatch.setattr(Ledger, "issue_transfer", issue_without_deduction)
    with pytest.raises(AssertionError):
        run_drawn_events(20)


def test_limit_is_exceeded_without_the_account_books_entries_for_receivers(monkeypatch: pytest.MonkeyPatch) -> None:
    """From each member's own account alone, the leader counts a transfer for nobody until its receiver reports it."""

    def apply_own_account_only(self: AccountBook, member: str, rows: list[AccountRow]) -> None:
        for row in rows:
            self._offsets.setdefault(member, {})[TEAM] = Amounts(
                *(taken - given for taken, given in zip(row.taken, row.given, strict=True))
            )

    monkeypatch.setattr(AccountBook, "apply_account", apply_own_account_only)
    with pytest.raises(AssertionError):
        run_drawn_events(20)


def new_ledger_pair() -> tuple[Ledger, Ledger]:
    return Ledger(["b"], {TEAM: LIMIT}), Ledger(["a"], {TEAM: LIMIT})


def test_transfer_counts_once_when_it_arrives_twice() -> None:
    sender, receiver = new_ledger_pair()
    transfer = sender.issue_transfer("b", TEAM, TASK_AMOUNTS, LIMIT)
    assert transfer.state is TransferState.DEDUCTED
    assert sender.balance(TEAM) == TASK_AMOUNTS.times(-1)
    rows = sender.rows_to_send("b")
    assert transfer.state is TransferState.SENT
    assert sender.has_unconfirmed("b", TEAM)
    assert sender.in_transfer(TEAM) == TASK_AMOUNTS
    assert receiver.receive_transfers("a", rows) == rows
    assert receiver.receive_transfers("a", rows) == []
    assert receiver.balance(TEAM) == TASK_AMOUNTS
    assert [confirmed.state for confirmed in sender.confirm("b", receiver.last_received("a"))] == [TransferState.TAKEN]
    assert not sender.has_unconfirmed("b", TEAM)
    assert sender.rows_to_send("b") == []
    assert sender.confirm("b", 1) == []
    with pytest.raises(LedgerError):
        sender.issue_transfer("b", TEAM, TASK_AMOUNTS, ZERO_AMOUNTS)
    with pytest.raises(LedgerError):
        sender.issue_transfer("b", TEAM, ZERO_AMOUNTS, LIMIT)


@pytest.mark.parametrize(
    "invalid_row",
    [
        TransferRow(1, "nobody", UNITS_PER_WHOLE, 0),
        TransferRow(1, TEAM, LIMIT.cpus + 1, 0),
        TransferRow(1, TEAM, 0, 0),
        TransferRow(2, TEAM, UNITS_PER_WHOLE, 0),
        TransferRow(1, "cores only", UNITS_PER_WHOLE, 1),
    ],
    ids=[
        "unknown team",
        "above the limit",
        "empty",
        "the transfer before it is missing",
        "of a resource without a limit",
    ],
)
def test_all_transfers_of_a_message_are_refused_when_one_is_invalid(invalid_row: TransferRow) -> None:
    ledger = Ledger(["a"], {TEAM: LIMIT, "cores only": Amounts(5 * UNITS_PER_WHOLE, NO_LIMIT)})
    valid_row = TransferRow(invalid_row.number + 1, TEAM, UNITS_PER_WHOLE, 0)
    with pytest.raises(QuotaMessageError):
        ledger.receive_transfers("a", [invalid_row, valid_row])
    assert ledger.balance(TEAM) == ZERO_AMOUNTS
    assert ledger.last_received("a") == 0
    with pytest.raises(QuotaMessageError):
        ledger.confirm("a", 1)


VALID_MESSAGE = {"version": 1, "view": 3, "sender": "a", "incarnation": "a-1", "receiver": "b"}


@pytest.mark.parametrize(
    "changes",
    [
        {"version": 2}, {"version": None}, {"view": -1}, {"confirmed": 2**80}, {"transfers": [[1, TEAM, -1, 0]]},
        {"transfers": [[1, TEAM, 2**70, 0]]}, {"transfers": [[1, TEAM, 1.5, 0]]}, {"transfers": [[1, TEAM]]},
        {"transfers": {"1": 2}}, {"short": {TEAM: [[1, 1, -1]]}}, {"accounts": [["b", TEAM, 0, 0, 0, -5]]},
        {"sender": 7},
    ],
    ids=str,
)  # fmt: skip
def test_invalid_quota_message_is_refused(changes: dict[str, Any]) -> None:
    assert decode_quota_message(VALID_MESSAGE).sender == "a"
    with pytest.raises(QuotaMessageError):
        decode_quota_message(VALID_MESSAGE | changes)


@pytest.mark.parametrize("value", [None, [], 5, "x", {}])
def test_value_that_is_no_quota_message_is_refused(value: Any) -> None:
    with pytest.raises(QuotaMessageError):
        decode_quota_message(value)


@settings(derandomize=True, max_examples=150, deadline=None)
@given(
    st.dictionaries(
        st.sampled_from(MEMBERS), st.builds(TaskDemand, st.integers(1, 9), st.integers(0, 4), st.integers(1, 6))
    ),
    st.builds(Amounts, st.integers(1, 40), st.integers(1, 20)),
)
def test_split_in_whole_tasks_leaves_no_share_in_which_a_task_fits(
    waiting: dict[str, TaskDemand], limit: Amounts
) -> None:
    policy = FittingSplit({name: {TEAM: [demand]} for name, demand in waiting.items()})
    targets = policy.targets(TEAM, limit, dict.fromkeys(MEMBERS, ZERO_AMOUNTS))
    granted = Amounts(sum(target.cpus for target in targets.values()), sum(target.gpus for target in targets.values()))
    assert granted.cpus <= limit.cpus
    assert granted.gpus <= limit.gpus
    left = Amounts(limit.cpus - granted.cpus, limit.gpus - granted.gpus)
    for name, demand in waiting.items():
        task_count = targets[name].cpus // demand.cpus
        assert targets[name] == demand.size.times(task_count)
        assert task_count <= demand.count
        assert task_count == demand.count or not tasks_within(left, demand.size)
    assert sum(granted) <= sum(max_usable(limit, list(waiting.values()))), (
        "max_usable is the most that any split can use"
    )
