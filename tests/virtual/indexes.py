"""Compares the controllers' indexes with the same values computed from all the indexed objects.

The reported tasks of a machine are rows of the type `TaskRow`: job id, task index, attempt number, phase and cause of
the end.
"""

from collections import Counter

import pytest

from ramptide.cluster.machine_index import MachineIndex
from ramptide.controller.controller import Controller
from ramptide.scheduling.attempts import sum_amounts
from ramptide.scheduling.job_scheduler import JobScheduler
from ramptide.state.task_state import FINISHED_PHASES
from virtual.agent import RUNNING, SUCCEEDED
from virtual.world import World


def check_indexes(world: World) -> None:
    """Check the indexes of all controllers that have a scheduler, as they do while they have a place in the view."""
    for node in world.nodes.values():
        controller = node.controller
        if controller is None or controller.state.scheduler is None:
            continue
        controller.machine_index.refresh()
        _check_rooms(controller.machine_index)
        _check_tasks(controller.machine_index)
        _check_failures(controller)
        _check_jobs(controller.state.scheduler)
        _check_attempts(controller.machine_index, controller.state.scheduler)


def _check_rooms(machine_index: MachineIndex) -> None:
    expected = {
        host: room
        for host in machine_index.machines
        if (room := machine_index._free_rooms._compute_room(host)) is not None
    }
    assert machine_index.rooms == expected


def _check_tasks(machine_index: MachineIndex) -> None:
    running = Counter(
        row[0] for machine in machine_index.machines.values() for row in machine.tasks if row[3] == RUNNING
    )
    assert {job_id: count for job_id, count in machine_index.running_tasks.items() if count} == running
    for job_id in {row[0] for machine in machine_index.machines.values() for row in machine.tasks}:
        assert machine_index.hosts_of_job(job_id) == sorted(
            host for host, machine in machine_index.machines.items() if any(row[0] == job_id for row in machine.tasks)
        )


def _check_failures(controller: Controller) -> None:
    machine_index, jobs = controller.machine_index, controller.state.jobs
    failures = {(job_id, host) for host, machine in machine_index.machines.items() for job_id in machine.failed_jobs}
    assert {
        (job_id, host) for job_id, hosts in machine_index._failures._hosts_by_failed_job.items() for host in hosts
    } == failures
    succeeded = {job_id for job_id, _ in failures if job_id in jobs and jobs[job_id].progress.count}
    succeeded |= {row[0] for machine in machine_index.machines.values() for row in machine.tasks if row[4] == SUCCEEDED}
    # A recorded success stays after its task is no longer reported, so the index may have more jobs than `succeeded`.
    assert (
        succeeded & machine_index._failures._hosts_by_failed_job.keys()
        <= machine_index._failures._succeeded_jobs
        <= machine_index._failures._hosts_by_failed_job.keys()
    )


def _check_jobs(scheduler: JobScheduler) -> None:
    assert scheduler.failing_jobs.by_id == {job_id: job for job_id, job in scheduler.jobs.items() if job.is_failing}
    assert scheduler.jobs_with_pending_tasks == {
        job_id: job for job_id, job in scheduler.jobs.items() if job.waiting > 0
    }


def _check_attempts(machine_index: MachineIndex, scheduler: JobScheduler) -> None:
    attempts = [attempt for entries in scheduler.attempts_by_host.values() for attempt in entries.values()]
    usage = sum_amounts(attempts)
    for team in usage | scheduler.usage():
        assert scheduler.usage().get(team, (0.0, 0.0)) == pytest.approx(usage.get(team, (0.0, 0.0)))
    for index in (scheduler.attempt_index.by_job, scheduler.attempt_index.by_task):
        indexed = [attempt for entries in index.values() for attempt in entries.values()]
        assert sorted(attempt.key for attempt in indexed) == sorted(attempt.key for attempt in attempts)
    for attempt in attempts:
        job_state = scheduler.jobs.get(attempt.spec.job_id)
        if job_state is not None and attempt.phase not in FINISHED_PHASES and attempt.task_index not in job_state.done:
            assert attempt.task_index in job_state.placed, "the task of an attempt that may run is not startable"
    reported = {
        tuple(row[:3]) for machine in machine_index.machines.values() if machine.is_reconciled for row in machine.tasks
    }
    assert all(attempt.key in scheduler.attempt_index.unreported or attempt.key in reported for attempt in attempts)
