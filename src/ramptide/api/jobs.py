"""The users' job API: submissions, polls and cancellations. A change is confirmed only after its commit."""

import math
from collections.abc import Callable, Mapping
from datetime import timedelta
from http import HTTPStatus

import msgspec

from ramptide.api.job_lookup import JobLookup, LookupFailure
from ramptide.api.telemetry import Answer, Route, Telemetry, Unavailable
from ramptide.clients.key_value_store import KeyValueStore
from ramptide.clients.transactions import Put, Transaction, TransactionResult
from ramptide.cluster.membership import Membership
from ramptide.cluster.view import View
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
    to_value,
)
from ramptide.state.watch_cache import WatchCache
from ramptide.transport.runtime import Runtime

__all__ = ["JobApi"]

NO_TIME = timedelta(0)
#: The highest number of attempts to commit a change for one request.
MAX_COMMIT_ATTEMPTS = 5
#: A request is refused at once when its commit would wait in the queue for longer than this.
MAX_COMMIT_DELAY = timedelta(seconds=1)
RETRY_DELAY = timedelta(milliseconds=120)
MAX_RETRY_AFTER_S = 30
#: The part of the largest value of the key-value store that is left for the fields of a record other than the job's
#: description, in KiB.
RECORD_OVERHEAD_KB = 2
NO_SUCH_JOB = "no such job"


class JobApi:
    """Handles users' requests.

    Parameters
    ----------
    jobs, machine_types, teams
        The current jobs by id, and the current machine types and teams by name; read at each request.
    choose_scheduler
        Returns the member that is to schedule a new job.
    running_count
        Returns how many tasks of a job are running.
    on_cancelled
        Called with the id of each job before a user is first told that the job is cancelled.
    """

    def __init__(
        self,
        runtime: Runtime,
        store: KeyValueStore,
        watch_cache: WatchCache,
        membership: Membership,
        commit_batcher: CommitBatcher,
        jobs: Mapping[str, Job],
        machine_types: Mapping[str, MachineType],
        teams: Mapping[str, Team],
        choose_scheduler: Callable[[JobSpec], str],
        running_count: Callable[[str], int],
        on_cancelled: Callable[[str], None],
        telemetry: Telemetry,
    ) -> None:
        self._runtime = runtime
        self._max_record_bytes = (store.limits.max_value_kb - RECORD_OVERHEAD_KB) * 1024
        self._watch_cache = watch_cache
        self._membership = membership
        self._commit_batcher = commit_batcher
        self._jobs = jobs
        self._machine_types = machine_types
        self._teams = teams
        self._choose_scheduler = choose_scheduler
        self._running_count = running_count
        self._on_cancelled = on_cancelled
        self._telemetry = telemetry
        self._lookup = JobLookup(store, watch_cache, jobs, on_cancelled)

    def remember_finished(self, job_id: str, record: FinishedJobRecord) -> None:
        """Keep a committed final state in memory, so that it need not be read again."""
        self._lookup.remember_finished(job_id, record)

    # Submissions.

    def submit(self, body: bytes, answer: Answer) -> None:
        """Accept a job, or answer with the state of the job that has the same id, so that requests can be repeated."""
        answer = self._telemetry.count_answers(Route.SUBMIT, answer)
        try:
            spec = decode_job_spec(body)
        except MessageError as error:
            answer(HTTPStatus.BAD_REQUEST, encode_error(str(error)), {})
            return
        if spec.job_id in self._jobs:
            self._answer_existing(spec.job_id, answer, None)
        elif (reason := self._commit_obstacle()) is not None:
            self._answer_unavailable(answer, reason)
        elif not self._machine_types:
            self._answer_unavailable(answer, Unavailable.MACHINE_TYPES)
        elif (problem := self._rejection_reason(spec)) is not None:
            # A job that was accepted before is not rejected now, even if the machine types or teams have changed.
            self._answer_existing(spec.job_id, answer, problem)
        else:
            self._accept(spec, answer, MAX_COMMIT_ATTEMPTS)

    def _rejection_reason(self, spec: JobSpec) -> str | None:
        """Return the reason why the job can never run, as an error text for the user; None when it can run."""
        team = self._teams.get(spec.team)
        if team is None:
            return f"owner: no team {spec.team!r}"
        if not can_ever_run(spec, self._machine_types.values()):
            return "no allowed machine takes a task of this job"
        tasks = spec.task_count if spec.kind == SERVICE else 1
        limit, needed = limits_of(team), amounts_of(spec).times(tasks)
        if needed.cpus > limit.cpus or needed.gpus > limit.gpus:
            return f"the job needs more than the limit of team {spec.team!r}"
        return None

    def _accept(self, spec: JobSpec, answer: Answer, remaining_attempts: int) -> None:
        view = self._membership.view
        if view is None:
            self._answer_unavailable(answer, Unavailable.VIEW)
            return
        if self._refuse_if_overloaded(answer):
            return
        value = to_value(self._new_record(spec, view))
        if len(msgspec.json.encode(value)) > self._max_record_bytes:
            answer(HTTPStatus.BAD_REQUEST, encode_error("the description is too long"), {})
            return
        live_key, finished_key = JOB_PREFIX + spec.job_id, FINISHED_PREFIX + spec.job_id
        transaction = Transaction(conditions={live_key: 0, finished_key: 0}, puts=[Put(live_key, value)])

        def on_result(result: TransactionResult) -> None:
            if result.is_applied:
                self._watch_cache.apply_commit(transaction, result.commit_revision)
                answer(HTTPStatus.CREATED, encode_job_status(spec.job_id, JobStatus.PENDING), {})
            elif live_key in result.conflicting_keys or finished_key in result.conflicting_keys:
                self._answer_existing(spec.job_id, answer, None)
            elif result.is_conflict and remaining_attempts > 1:
                # Only the view has changed, and the watch cache will have the new view soon.
                self._runtime.after(RETRY_DELAY, lambda: self._accept(spec, answer, remaining_attempts - 1))
            elif result.is_unknown and remaining_attempts > 1 and not self._watch_cache.is_unavailable:
                self._accept(spec, answer, 1)
            else:
                self._answer_not_committed(result, answer)

        self._commit_batcher.add(transaction, on_result)

    def _new_record(self, spec: JobSpec, view: View) -> JobRecord:
        return JobRecord(
            spec=spec,
            scheduler=self._choose_scheduler(spec),
            created_in_view=view.number,
            submitted_timestamp=self._runtime.wall().timestamp(),
            progress=Progress().encode(),
        )

    def _answer_existing(self, job_id: str, answer: Answer, problem: str | None) -> None:
        """Answer with the state of a job that exists, else with `problem`, or with status 503 when that is None."""

        def on_missing() -> None:
            if problem is None:
                self._answer_unavailable(answer, Unavailable.BEING_ACCEPTED)
            else:
                answer(HTTPStatus.UNPROCESSABLE_ENTITY, encode_error(problem), {})

        self._answer_state(job_id, answer, on_missing)

    # Polls.

    def poll(self, job_id: str, answer: Answer) -> None:
        """Answer with the current state of a job."""
        answer = self._telemetry.count_answers(Route.POLL, answer)
        if is_job_id(job_id):
            self._answer_state(job_id, answer, lambda: _answer_no_such_job(answer))
        else:
            _answer_no_such_job(answer)

    def _answer_state(self, job_id: str, answer: Answer, on_missing: Callable[[], None]) -> None:
        """Answer with the current state of a job, or call `on_missing` when the job was never accepted."""

        def on_found(found: Job | FinishedJobRecord | LookupFailure) -> None:
            if found is LookupFailure.UNAVAILABLE:
                self._answer_unavailable(answer, Unavailable.STATE_SERVICE)
            elif isinstance(found, FinishedJobRecord):
                answer(HTTPStatus.OK, encode_job_status(job_id, found.status, found.done_count, 0), {})
            elif isinstance(found, Job):
                answer(HTTPStatus.OK, self._encode_live(found), {})
            else:
                on_missing()

        self._lookup.find(job_id, on_found)

    def _encode_live(self, job: Job) -> bytes:
        done = job.progress.count
        running = min(self._running_count(job.job_id), job.spec.task_count - done)
        status = JobStatus.RUNNING if running else JobStatus.PENDING
        return encode_job_status(job.job_id, status, done, running)

    # Cancellations.

    def cancel(self, job_id: str, answer: Answer) -> None:
        """Cancel a job; the answer is sent once the cancellation is committed."""
        answer = self._telemetry.count_answers(Route.CANCEL, answer)
        if is_job_id(job_id):
            self._cancel(job_id, answer, MAX_COMMIT_ATTEMPTS)
        else:
            _answer_no_such_job(answer)

    def _cancel(self, job_id: str, answer: Answer, remaining_attempts: int) -> None:
        reason = self._commit_obstacle()
        if reason is not None:
            self._answer_unavailable(answer, reason)
            return

        def on_found(found: Job | FinishedJobRecord | LookupFailure) -> None:
            if found is LookupFailure.UNAVAILABLE:
                self._answer_unavailable(answer, Unavailable.STATE_SERVICE)
            elif isinstance(found, FinishedJobRecord):
                answer(HTTPStatus.OK, encode_job_status(job_id, found.status), {})
            elif isinstance(found, Job):
                self._write_cancellation(found, answer, remaining_attempts)
            else:
                _answer_no_such_job(answer)

        job = self._jobs.get(job_id)
        if job is not None:
            # The transaction is conditional on the revision of the record, so no read is needed before it.
            self._write_cancellation(job, answer, remaining_attempts)
        else:
            self._lookup.find(job_id, on_found)

    def _write_cancellation(self, job: Job, answer: Answer, remaining_attempts: int) -> None:
        if self._refuse_if_overloaded(answer):
            return
        job_id = job.job_id
        record = FinishedJobRecord(JobStatus.CANCELLED, job.spec.task_count, job.progress.count)
        transaction = Transaction(
            conditions={JOB_PREFIX + job_id: job.mod_revision},
            puts=[Put(FINISHED_PREFIX + job_id, to_value(record))],
            deletes=[JOB_PREFIX + job_id],
        )

        def on_result(result: TransactionResult) -> None:
            may_retry = remaining_attempts > 1 and not self._watch_cache.is_unavailable
            if result.is_applied:
                self.remember_finished(job_id, record)
                self._watch_cache.apply_commit(transaction, result.commit_revision)
                self._on_cancelled(job_id)
                answer(HTTPStatus.OK, encode_job_status(job_id, JobStatus.CANCELLED), {})
            elif may_retry and (result.is_conflict or result.is_unknown):
                # The record or the view has changed, or the result is unknown: try again once the watch cache has read
                # the changes.
                self._watch_cache.catch_up(lambda _is_fresh: self._cancel(job_id, answer, remaining_attempts - 1))
            else:
                self._answer_not_committed(result, answer)

        self._commit_batcher.add(transaction, on_result)

    # Answers with status 503.

    def _answer_unavailable(self, answer: Answer, reason: Unavailable, retry_after: timedelta = NO_TIME) -> None:
        self._telemetry.unavailable[reason] += 1
        seconds = min(max(math.ceil(retry_after.total_seconds()), 1), MAX_RETRY_AFTER_S)
        answer(HTTPStatus.SERVICE_UNAVAILABLE, encode_error(reason.text), {"Retry-After": str(seconds)})

    def _commit_obstacle(self) -> Unavailable | None:
        """Return the reason why no change can be committed now; None when changes can be committed."""
        if self._watch_cache.is_unavailable:
            return Unavailable.STATE_SERVICE
        return Unavailable.VIEW if self._membership.view is None else None

    def _refuse_if_overloaded(self, answer: Answer) -> bool:
        """Refuse the request if the queue of commits is too long; return whether it was refused.

        The key-value store cannot commit as much as is requested, so the user is told at once when to retry.
        """
        delay = self._commit_batcher.expected_delay()
        if delay > MAX_COMMIT_DELAY:
            self._answer_unavailable(answer, Unavailable.OVERLOADED, delay)
        return delay > MAX_COMMIT_DELAY

    def _answer_not_committed(self, result: TransactionResult, answer: Answer) -> None:
        """Answer for a change that was not committed: it waited too long in the queue, or its commit had no answer."""
        if result.is_rate_limited:
            self._answer_unavailable(answer, Unavailable.OVERLOADED, self._commit_batcher.expected_delay())
        else:
            self._answer_unavailable(answer, Unavailable.STATE_SERVICE)


def _answer_no_such_job(answer: Answer) -> None:
    answer(HTTPStatus.NOT_FOUND, encode_error(NO_SUCH_JOB), {})
