"""Users' requests: submissions, polls and cancellations. Nothing is confirmed before its commit."""

import logging
import math
from collections.abc import Callable
from datetime import timedelta

import msgspec

from ramptide.api.telemetry import Answer, Route, Telemetry, Unavailable
from ramptide.clients.key_value_store import KeyValueStore, ReadResult
from ramptide.clients.transactions import Put, Transaction, TransactionResult
from ramptide.cluster.membership import Membership
from ramptide.placement.bin_packing import can_ever_run
from ramptide.protocol.cloud import MachineType
from ramptide.protocol.jobs import SERVICE, JobSpec, JobStatus, decode_job_spec, encode_job_status, is_job_id
from ramptide.protocol.settings_file import Team
from ramptide.protocol.types import MessageError, encode_error
from ramptide.state.amounts import amounts_of, limits_of
from ramptide.state.commit_batcher import CommitBatcher
from ramptide.state.jobs import Job
from ramptide.state.records import (
    FINISHED_PREFIX,
    JOB_PREFIX,
    FinishedJobRecord,
    JobRecord,
    Progress,
    RecordError,
    from_value,
    to_value,
)
from ramptide.state.watch_cache import WatchCache

log = logging.getLogger(__name__)

MAX_ATTEMPTS = 5
MAX_COMMIT_DELAY = timedelta(seconds=1)
MAX_RETRY_AFTER_S = 30
ENDED_KEPT = 5000
RETRY_DELAY = timedelta(milliseconds=120)


class JobApi:
    """Handles users' requests: submissions, polls and cancellations."""

    def __init__(
        self,
        store: KeyValueStore,
        mirror: WatchCache,
        membership: Membership,
        commits: CommitBatcher,
        jobs: dict[str, Job],
        machine_types: dict[str, MachineType],
        teams: dict[str, Team],
        home_for: Callable[[JobSpec], str],
        running: Callable[[str], int],
        cancelled: Callable[[str], None],
        telemetry: Telemetry,
    ) -> None:
        self._store = store
        self._mirror = mirror
        self._membership = membership
        self._commits = commits
        self._jobs = jobs
        self._machine_types = machine_types
        self._teams = teams
        self._home_for = home_for
        self._running = running
        self._cancelled = cancelled
        self._telemetry = telemetry
        # Final states never change, so one that was read or committed here need not be read again.
        self._ended: dict[str, FinishedJobRecord] = {}
        self._asking: dict[str, list[Callable[[FinishedJobRecord | None, bool], None]]] = {}

    def _busy(self, answer: Answer, reason: Unavailable, wait: timedelta = timedelta(0)) -> None:
        self._telemetry.unavailable[reason] += 1
        seconds = min(max(math.ceil(wait.total_seconds()), 1), MAX_RETRY_AFTER_S)
        answer(503, encode_error(reason.text), {"Retry-After": str(seconds)})

    def _cannot_commit(self) -> Unavailable | None:
        """Return why no change can be written now, or None when it can."""
        if self._mirror.is_unavailable:
            return Unavailable.STATE_SERVICE
        return Unavailable.VIEW if self._membership.view is None else None

    def _overloaded(self, answer: Answer) -> bool:
        """Reject the request if the queue of writes is too long; tell whether it was rejected.

        More is asked than the state service can take, so the user is told at once when to retry.
        """
        delay = self._commits.delay()
        if delay > MAX_COMMIT_DELAY:
            self._busy(answer, Unavailable.OVERLOADED, delay)
        return delay > MAX_COMMIT_DELAY

    def remember_finished(self, job_id: str, record: FinishedJobRecord) -> None:
        """Remember a final state that was committed, so that it need not be read again."""
        self._ended[job_id] = record
        while len(self._ended) > ENDED_KEPT:
            del self._ended[next(iter(self._ended))]

    def _not_written(self, outcome: TransactionResult, answer: Answer) -> None:
        """Answer for a change that was given up on: it waited too long for its turn, or had no answer."""
        if outcome.is_rate_limited:
            self._busy(answer, Unavailable.OVERLOADED, self._commits.delay())
        else:
            self._busy(answer, Unavailable.STATE_SERVICE)

    # Submissions.

    def submit(self, body: bytes, answer: Answer) -> None:
        """Accept a job, or answer with the state of one that has the same reference."""
        answer = self._telemetry.counting(Route.SUBMIT, answer)
        try:
            spec = decode_job_spec(body)
        except MessageError as bad:
            answer(400, encode_error(str(bad)), {})
            return
        if spec.job_id in self._jobs:
            self._known(spec.job_id, answer, None)
        elif (reason := self._cannot_commit()) is not None:
            self._busy(answer, reason)
        elif not self._machine_types:
            self._busy(answer, Unavailable.MACHINE_TYPES)
        elif (problem := self._never(spec)) is not None:
            # A job that was accepted is never refused later, whatever the types or teams are by now.
            self._known(spec.job_id, answer, problem)
        else:
            self._accept(spec, answer, MAX_ATTEMPTS)

    def _never(self, spec: JobSpec) -> str | None:
        team = self._teams.get(spec.team)
        if team is None:
            return f"owner: no team {spec.team!r}"
        if not can_ever_run(spec, self._machine_types.values()):
            return "no allowed machine takes a task of this job"
        tasks = spec.task_count if spec.kind == SERVICE else 1
        limit, needed = limits_of(team), amounts_of(spec).times(tasks)
        if needed[0] > limit[0] or needed[1] > limit[1]:
            return f"the job needs more than the limit of team {spec.team!r}"
        return None

    def _accept(self, spec: JobSpec, answer: Answer, tries: int) -> None:
        view = self._membership.view
        assert view is not None
        if self._overloaded(answer):
            return
        record = JobRecord(
            spec=spec,
            scheduler=self._home_for(spec),
            created_in_view=view.number,
            submitted_timestamp=self._store.runtime.wall().timestamp(),
            progress=Progress().encode(),
        )
        value = to_value(record)
        if len(msgspec.json.encode(value)) > (self._store.limits.max_value_kb - 2) * 1024:
            answer(400, encode_error("the description is too long"), {})
            return
        key, ended = JOB_PREFIX + spec.job_id, FINISHED_PREFIX + spec.job_id
        transaction = Transaction(conditions={key: 0, ended: 0}, puts=[Put(key, value)])

        def done(outcome: TransactionResult) -> None:
            if outcome.is_applied:
                self._mirror.apply_commit(transaction, outcome.commit_revision)
                answer(201, encode_job_status(spec.job_id, JobStatus.PENDING), {})
            elif key in outcome.conflicting_keys or ended in outcome.conflicting_keys:
                self._known(spec.job_id, answer, None)
            elif outcome.is_conflict and tries > 1:
                # Only the view moved on; the mirror will have the new one in a moment.
                self._store.runtime.after(RETRY_DELAY, lambda: self._accept(spec, answer, tries - 1))
            elif outcome.is_unknown and tries > 1 and not self._mirror.is_unavailable:
                self._accept(spec, answer, min(tries - 1, 1))
            else:
                self._not_written(outcome, answer)

        self._commits.add(transaction, done)

    def _known(self, job_id: str, answer: Answer, problem: str | None) -> None:
        """Answer with the state of a job that exists; otherwise with `problem`, or 503 where that is None."""

        def missing() -> None:
            if problem is None:
                self._busy(answer, Unavailable.BEING_ACCEPTED)
            else:
                answer(422, encode_error(problem), {})

        self._tell(job_id, answer, missing)

    # Polls.

    def poll(self, job_id: str, answer: Answer) -> None:
        """Answer with the present state of a job."""
        answer = self._telemetry.counting(Route.POLL, answer)
        if not is_job_id(job_id):
            answer(404, encode_error("no such job"), {})
            return

        self._tell(job_id, answer, lambda: answer(404, encode_error("no such job"), {}))

    def _tell(self, job_id: str, answer: Answer, missing: Callable[[], None]) -> None:
        """Answers with the job's present state, or calls `missing` when it was never accepted."""

        def found(state: Job | FinishedJobRecord | None, known: bool) -> None:
            if not known:
                self._busy(answer, Unavailable.STATE_SERVICE)
            elif isinstance(state, FinishedJobRecord):
                answer(200, encode_job_status(job_id, state.status, state.done_count, 0), {})
            elif state is not None:
                done = state.progress.count
                count = min(self._running(job_id), state.spec.task_count - done)
                status = JobStatus.RUNNING if count else JobStatus.PENDING
                answer(200, encode_job_status(job_id, status, done, count), {})
            else:
                missing()

        self._find(job_id, found)

    def _find(self, job_id: str, found: Callable[[Job | FinishedJobRecord | None, bool], None]) -> None:
        """Report the job, or its final state, from a read of the state service that began after this call.

        So no answer is older than one that another controller gave. One read of the changes serves all who ask before
        it is sent, since the watched copy has the jobs that are not over. A final state that is known already can't
        change. `found` gets None for a job that does not exist, and False when the state service could not be read.
        """
        if job_id in self._ended:
            found(self._ended[job_id], True)
            return

        def read(fresh: bool) -> None:
            if not fresh:
                found(None, False)
            elif job_id in self._jobs:
                found(self._jobs[job_id], True)
            else:
                # A job moves from live to ended in one transaction and never back, so one that was ever
                # accepted and is not live any more is found there.
                self._read_ended(job_id, found)

        self._mirror.catch_up(read)

    def _read_ended(self, job_id: str, found: Callable[[FinishedJobRecord | None, bool], None]) -> None:
        """Read a final state; requests made before the read is sent share it, later ones wait for the next."""
        waiting = self._asking.get(job_id)
        if waiting is not None:
            waiting.append(found)
            return
        asked = self._asking[job_id] = [found]

        def sending() -> None:
            del self._asking[job_id]

        def done(result: ReadResult) -> None:
            row, known = result.key_value, result.is_known
            if self._asking.get(job_id) is asked:
                del self._asking[job_id]
            record = None
            if row is not None:
                try:
                    record = from_value(row.value, FinishedJobRecord)
                except RecordError as problem:
                    log.error("broken finished-job record: key=%s error=%r", row.key, str(problem))
                    known = False
                else:
                    self.remember_finished(job_id, record)
                    if record.status == JobStatus.CANCELLED:
                        # Whoever tells a user so tells the others: the one that wrote it may have ended since.
                        self._cancelled(job_id)
            for one in asked:
                one(record, known)

        self._store.get(FINISHED_PREFIX + job_id, done, sending)

    # Cancellations.

    def cancel(self, job_id: str, answer: Answer) -> None:
        """Cancel a job; the answer is sent once the cancellation is committed."""
        answer = self._telemetry.counting(Route.CANCEL, answer)
        if not is_job_id(job_id):
            answer(404, encode_error("no such job"), {})
            return
        self._cancel(job_id, answer, MAX_ATTEMPTS)

    def _cancel(self, job_id: str, answer: Answer, tries: int) -> None:
        reason = self._cannot_commit()
        if reason is not None:
            self._busy(answer, reason)
            return

        def found(state: Job | FinishedJobRecord | None, known: bool) -> None:
            if not known:
                self._busy(answer, Unavailable.STATE_SERVICE)
            elif state is None:
                answer(404, encode_error("no such job"), {})
            elif isinstance(state, FinishedJobRecord):
                answer(200, encode_job_status(job_id, state.status), {})
            else:
                self._withdraw(state, answer, tries)

        job = self._jobs.get(job_id)
        if job is not None:
            # The transaction is conditional on the record's revision, so it is as good as a read.
            self._withdraw(job, answer, tries)
        else:
            self._find(job_id, found)

    def _withdraw(self, job: Job, answer: Answer, tries: int) -> None:
        if self._overloaded(answer):
            return
        job_id = job.job_id
        end = FinishedJobRecord(JobStatus.CANCELLED, job.spec.task_count, job.progress.count)
        transaction = Transaction(
            conditions={JOB_PREFIX + job_id: job.mod_revision},
            puts=[Put(FINISHED_PREFIX + job_id, to_value(end))],
            deletes=[JOB_PREFIX + job_id],
        )

        def done(outcome: TransactionResult) -> None:
            if outcome.is_applied:
                self.remember_finished(job_id, end)
                self._mirror.apply_commit(transaction, outcome.commit_revision)
                self._cancelled(job_id)
                answer(200, encode_job_status(job_id, JobStatus.CANCELLED), {})
            elif tries > 1 and not self._mirror.is_unavailable and (outcome.is_conflict or outcome.is_unknown):
                # The record or the view moved on, or nobody knows: read again and see.
                self._mirror.catch_up(lambda _fresh: self._cancel(job_id, answer, tries - 1))
            else:
                self._not_written(outcome, answer)

        self._commits.add(transaction, done)
