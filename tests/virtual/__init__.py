"""A simulation for tests: whole controllers on a virtual clock and network, with simulated external services.

Read `world` first, then `node` (a controller's process) and the simulated services `key_value_store`, `cloud` and
`agent`. `users`, `faults` and `histories` generate the load and the faults; `invariants` checks what happens on the
machines. `loopback` runs real controller processes against the same simulated services; it is not re-exported here, so
tests import it by its own name.
"""

from virtual.agent import MACHINE_CPUS, MACHINE_RAM_GB, Agent, AttemptKey, Task
from virtual.clock import EPOCH, MILLISECOND, SECOND, VirtualClock
from virtual.cloud import Cloud
from virtual.faults import (
    OVERLAPPING_FAULTS,
    SINGLE_FAULTS,
    SLOW_LINK_FAULTS,
    Fault,
    FaultContext,
    cut_store_link,
    freeze_controller,
    inject_fault,
    lose_store_and_peers,
    slow_service_links,
    store_refuses_controller,
)
from virtual.histories import DEFAULT_HISTORY_S, QUOTA_ON, longest_starvation, play_history, starved_jobs
from virtual.indexes import check_indexes
from virtual.invariants import InvariantChecker
from virtual.jobs import job_spec
from virtual.key_value_store import Entry, KeyValueStore
from virtual.network import CLOUD, STORE, Respond, Response, SlowLink, VirtualNetwork, ignore_response
from virtual.node import Node, VirtualRuntime, VirtualTimerHandle
from virtual.observer import Observer
from virtual.scenarios import (
    OTHER_ARRAYS,
    busy_world,
    check_other_jobs_are_served,
    end_faults,
    large_busy_world,
    restart_controller,
    restart_owner_after_each_renewal,
    run_with_checks,
    running_attempts,
    submit_other_jobs,
)
from virtual.settings import SETTINGS_FILE, cluster_settings
from virtual.users import Users, cancel_job, submit_job
from virtual.world import World, leader_of, owner_of, started_world

__all__ = [
    "CLOUD",
    "DEFAULT_HISTORY_S",
    "EPOCH",
    "MACHINE_CPUS",
    "MACHINE_RAM_GB",
    "MILLISECOND",
    "OTHER_ARRAYS",
    "OVERLAPPING_FAULTS",
    "QUOTA_ON",
    "SECOND",
    "SETTINGS_FILE",
    "SINGLE_FAULTS",
    "SLOW_LINK_FAULTS",
    "STORE",
    "Agent",
    "AttemptKey",
    "Cloud",
    "Entry",
    "Fault",
    "FaultContext",
    "InvariantChecker",
    "KeyValueStore",
    "Node",
    "Observer",
    "Respond",
    "Response",
    "SlowLink",
    "Task",
    "Users",
    "VirtualClock",
    "VirtualNetwork",
    "VirtualRuntime",
    "VirtualTimerHandle",
    "World",
    "busy_world",
    "cancel_job",
    "check_indexes",
    "check_other_jobs_are_served",
    "cluster_settings",
    "cut_store_link",
    "end_faults",
    "freeze_controller",
    "ignore_response",
    "inject_fault",
    "job_spec",
    "large_busy_world",
    "leader_of",
    "longest_starvation",
    "lose_store_and_peers",
    "owner_of",
    "play_history",
    "restart_controller",
    "restart_owner_after_each_renewal",
    "run_with_checks",
    "running_attempts",
    "slow_service_links",
    "started_world",
    "starved_jobs",
    "store_refuses_controller",
    "submit_job",
    "submit_other_jobs",
]
