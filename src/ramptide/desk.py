"""What users are answered: submissions, polls and cancellations. Nothing is promised before its commit."""

import logging
from collections.abc import Callable
from datetime import timedelta

import msgspec

from ramptide import wire
from ramptide.allowances import limits_of
from ramptide.jobs import Job
from ramptide.membership import VIEW, Membership
from ramptide.mirror import Mirror
from ramptide.placement import can_ever_run
from ramptide.records import ENDED, JOB, EndRecord, JobRecord, Progress, to_value
from ramptide.store import Outcome, Store, Txn

log = logging.getLogger(__name__)

Answer = Callable[[int, bytes, dict[str, str]], None]

RETRY_AFTER = {"Retry-After": "1"}
TRIES = 5
AGAIN = timedelta(milliseconds=120)


def error(text: str) -> bytes:
    return wire.encode({"error": text})


class Desk:
    def __init__(
        self,
        store: Store,
        mirror: Mirror,
        membership: Membership,
        jobs: dict[str, Job],
        flavors: dict[str, wire.Flavor],
        teams: dict[str, wire.Team],
        home_for: Callable[[wire.Run], str],
        running: Callable[[str], int],
        withdrawn: Callable[[str], None],
    ) -> None:
        self._store = store
        self._mirror = mirror
        self._membership = membership
        self._jobs = jobs
        self._flavors = flavors
        self._teams = teams
        self._home_for = home_for
        self._running = running
        self._withdrawn = withdrawn
        self._asking: dict[str, list[Callable[[tuple[JobRecord | EndRecord | None, int] | None], None]]] = {}

    @staticmethod
    def _busy(answer: Answer, text: str) -> None:
        answer(503, error(text), RETRY_AFTER)

    # Submissions.

    def submit(self, body: bytes, answer: Answer) -> None:
        try:
            run = wire.decode_run(body)
        except wire.BadMessage as bad:
            answer(400, error(str(bad)), {})
            return
        if run.ref in self._jobs:
            self._known(run.ref, answer, None)
        elif self._mirror.lacking or self._membership.view is None:
            self._busy(answer, "the state service does not answer")
        elif not self._flavors:
            self._busy(answer, "the machine types are not known yet")
        elif (problem := self._never(run)) is not None:
            # A job that was accepted is never refused later, whatever the types or teams are by now.
            self._known(run.ref, answer, problem)
        else:
            self._accept(run, answer, TRIES)

    def _never(self, run: wire.Run) -> str | None:
        team = self._teams.get(run.team)
        if team is None:
            return f"owner: no team {run.team!r}"
        if not can_ever_run(run, self._flavors.values()):
            return "no allowed machine takes a task of this job"
        tasks = run.pieces if run.shape == wire.SERVICE else 1
        cores, cards = limits_of(team)
        if run.cores * tasks > cores + 1e-6 or run.cards * tasks > cards + 1e-6:
            return f"the job needs more than the limit of team {run.team!r}"
        return None

    def _accept(self, run: wire.Run, answer: Answer, tries: int) -> None:
        view = self._membership.view
        assert view is not None
        record = JobRecord(
            run=run,
            home=self._home_for(run),
            born=view.number,
            at=self._store.context.wall().timestamp(),
            done=Progress().encode(),
        )
        value = to_value(record)
        if len(msgspec.json.encode(value)) > (self._store.limits.value_kb - 2) * 1024:
            answer(400, error("the description is too long"), {})
            return
        key, ended = JOB + run.ref, ENDED + run.ref
        txn = Txn(when={VIEW: self._membership.view_stamp, key: 0, ended: 0}, puts=[(key, value, None)])

        def done(outcome: Outcome) -> None:
            if outcome.epoch is not None:
                self._mirror.applied(outcome.epoch, txn.puts, txn.drops)
                answer(201, wire.encode_job(run.ref, wire.PENDING), {})
            elif outcome.failed and (key in outcome.failed or ended in outcome.failed):
                self._known(run.ref, answer, None)
            elif outcome.failed is not None and tries > 1:
                # Only the view moved on; the mirror will have the new one in a moment.
                self._store.context.after(AGAIN, lambda: self._accept(run, answer, tries - 1))
            elif outcome.sent and outcome.failed is None and tries > 1 and not self._mirror.lacking:
                self._accept(run, answer, min(tries - 1, 1))
            else:
                self._busy(answer, "the state service does not answer")

        self._store.txn(txn, done)

    def _known(self, ref: str, answer: Answer, problem: str | None) -> None:
        """The present state of a job that is there already; `problem` if it is not."""

        def missing() -> None:
            if problem is None:
                self._busy(answer, "the job is being accepted")
            else:
                answer(422, error(problem), {})

        self._tell(ref, answer, missing)

    # Polls.

    def poll(self, ref: str, answer: Answer) -> None:
        if not wire.is_ref(ref):
            answer(404, error("no such job"), {})
            return

        self._tell(ref, answer, lambda: answer(404, error("no such job"), {}))

    def _tell(self, ref: str, answer: Answer, missing: Callable[[], None]) -> None:
        """Answers with the job's present state, or calls `missing` when it was never accepted."""

        def found(state: tuple[JobRecord | EndRecord | None, int] | None) -> None:
            if state is None:
                self._busy(answer, "the state service does not answer")
            elif state[0] is None:
                missing()
            else:
                answer(200, self._show(ref, state[0]), {})

        self._read(ref, found)

    def _show(self, ref: str, record: JobRecord | EndRecord) -> bytes:
        if isinstance(record, EndRecord):
            return wire.encode_job(ref, record.status, record.done, 0)
        done = Progress.decode(record.done).count
        running = min(self._running(ref), record.run.pieces - done)
        return wire.encode_job(ref, wire.RUNNING if running else wire.PENDING, done, running)

    def _read(
        self, ref: str, found: Callable[[tuple[JobRecord | EndRecord | None, int] | None], None]
    ) -> None:
        """Reads through to the state service, so that no answer is older than one that another node gave.

        Requests that come before the read is sent share it; later ones wait for the next.
        """
        if self._mirror.lacking:
            found(None)
            return
        waiting = self._asking.get(ref)
        if waiting is not None:
            waiting.append(found)
            return
        self._asking[ref] = [found]
        self._start_read(ref)

    def _start_read(self, ref: str) -> None:
        asked = self._asking[ref]

        def sending() -> None:
            del self._asking[ref]

        def finish(state: tuple[JobRecord | EndRecord | None, int] | None) -> None:
            if self._asking.get(ref) is asked:
                del self._asking[ref]
            for one in asked:
                one(state)

        def live(row: wire.Row | None, known: bool) -> None:
            if not known:
                finish(None)
            elif row is not None:
                finish(self._decode(row, JobRecord))
            else:
                # A job moves from live to ended in one transaction and never back, so read in this order
                # a job that was ever accepted is found.
                self._store.get(ENDED + ref, ended)

        def ended(row: wire.Row | None, known: bool) -> None:
            if not known:
                finish(None)
            else:
                finish((None, 0) if row is None else self._decode(row, EndRecord))

        self._store.get(JOB + ref, live, sending)

    @staticmethod
    def _decode(
        row: wire.Row, kind: type[JobRecord] | type[EndRecord]
    ) -> tuple[JobRecord | EndRecord | None, int] | None:
        try:
            return msgspec.convert(row.v, kind), row.stamp
        except msgspec.ValidationError as problem:
            log.error("broken record %s: %s", row.path, problem)
            return None

    # Cancellations.

    def cancel(self, ref: str, answer: Answer, tries: int = TRIES) -> None:
        if not wire.is_ref(ref):
            answer(404, error("no such job"), {})
            return
        if self._mirror.lacking or self._membership.view is None:
            self._busy(answer, "the state service does not answer")
            return

        def found(state: tuple[JobRecord | EndRecord | None, int] | None) -> None:
            if state is None:
                self._busy(answer, "the state service does not answer")
            elif state[0] is None:
                answer(404, error("no such job"), {})
            elif isinstance(state[0], EndRecord):
                answer(200, wire.encode_job(ref, state[0].status), {})
            else:
                self._withdraw(ref, state[0], state[1], answer, tries)

        self._read(ref, found)

    def _withdraw(self, ref: str, record: JobRecord, stamp: int, answer: Answer, tries: int) -> None:
        end = EndRecord(wire.WITHDRAWN, record.run.pieces, Progress.decode(record.done).count)
        txn = Txn(
            when={VIEW: self._membership.view_stamp, JOB + ref: stamp},
            puts=[(ENDED + ref, to_value(end), None)],
            drops=[JOB + ref],
        )

        def done(outcome: Outcome) -> None:
            if outcome.epoch is not None:
                self._mirror.applied(outcome.epoch, txn.puts, txn.drops)
                self._withdrawn(ref)
                answer(200, wire.encode_job(ref, wire.WITHDRAWN), {})
            elif tries > 1 and not self._mirror.lacking and (outcome.failed is not None or outcome.sent):
                # The record or the view moved on, or nobody knows: read again and see.
                self._store.context.after(AGAIN, lambda: self.cancel(ref, answer, tries - 1))
            else:
                self._busy(answer, "the state service does not answer")

        self._store.txn(txn, done)
