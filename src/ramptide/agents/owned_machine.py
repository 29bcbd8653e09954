"""A machine whose agent sends its heartbeats to this controller."""

from dataclasses import dataclass, field
from datetime import timedelta
from typing import NamedTuple

from ramptide.placement.bin_packing import ROUNDING_TOLERANCE
from ramptide.protocol.agents import Heartbeat
from ramptide.protocol.cloud import MachineType
from ramptide.protocol.jobs import SERVICE, JobSpec
from ramptide.state.records import MachineRecord
from ramptide.state.task_state import FINISHED_PHASES, NO_TIME, DesiredState, Phase, TaskEntry, TaskKey

__all__ = ["CACHED_IMAGES_KEPT", "FreeResources", "HeartbeatId", "OwnedMachine"]

CACHED_IMAGES_KEPT = 40


class HeartbeatId(NamedTuple):
    """Identifies a heartbeat of one agent; a later heartbeat has a greater id.

    `agent_epoch` grows with each start of the agent, `sequence_number` with each heartbeat of that epoch.
    """

    agent_epoch: int
    sequence_number: int

    @classmethod
    def of(cls, heartbeat: Heartbeat) -> "HeartbeatId":
        """Return the id of a heartbeat."""
        return cls(heartbeat.agent_epoch, heartbeat.sequence_number)

    def directly_follows(self, previous: "HeartbeatId") -> bool:
        """Return whether the agent sent no other heartbeat between `previous` and this one."""
        return self.agent_epoch == previous.agent_epoch and self.sequence_number == previous.sequence_number + 1


#: An id that is lower than that of every heartbeat.
NO_HEARTBEAT = HeartbeatId(0, 0)


class FreeResources(NamedTuple):
    """The resources of a machine that no attempt holds; `ram_gb` in gigabytes."""

    cpus: float
    gpus: float
    ram_gb: float


NOTHING_FREE = FreeResources(0.0, 0.0, 0.0)


@dataclass(slots=True)
class OwnedMachine:
    """A machine that this controller owns in the current view. All moments are of the monotonic clock."""

    host: str
    record: MachineRecord
    #: None while the cloud's list of machine types does not contain the type.
    machine_type: MachineType | None
    #: Whether no reply of an earlier view can be carried out any more.
    is_reconciled: bool
    #: The moment after which no other controller of this view replies to the agent; it may be in the future.
    no_other_owner_since: timedelta
    #: Whether `no_other_owner_since` holds for the controllers of earlier views as well.
    covers_earlier_views: bool = False
    entries: dict[TaskKey, TaskEntry] = field(default_factory=dict)
    last_heartbeat_id: HeartbeatId = NO_HEARTBEAT
    #: Since when its heartbeats have shown that replies do not reach the agent; None while they do.
    unreachable_since: timedelta | None = None
    has_missed_heartbeats: bool = False
    #: The encoded tasks of the last heartbeat from which the entries were updated.
    raw_tasks: bytes | None = None
    last_heartbeat_at: timedelta | None = None
    last_reply_at: timedelta | None = None
    #: When the cloud preempts the machine; None without a preemption notice.
    preempted_at: timedelta | None = None
    #: An ordered set of the images that the agent has cached, the most recently used one last.
    images: dict[str, None] = field(default_factory=dict)
    is_up: bool = False
    #: Whether the agent created its last heartbeat after it saw the fencing token of this view.
    has_current_token: bool = False
    #: The different jobs that failed here last, the latest one last.
    failed_jobs: list[str] = field(default_factory=list)
    #: The number of jobs at the end of `failed_jobs` that failed with no success here since.
    consecutive_failures: int = 0
    #: The address at which the agent accepts requests; None while it is not known.
    address: str | None = None

    @property
    def is_unreachable(self) -> bool:
        """Whether heartbeats of the agent arrive, but replies do not reach it."""
        return self.unreachable_since is not None

    def free_resources(self) -> FreeResources:
        """Return the resources that no attempt holds; none while an attempt of an unknown job is on the machine."""
        if self.machine_type is None:
            return NOTHING_FREE
        cpus, gpus, ram_gb = self.machine_type.cpus, self.machine_type.gpus, self.machine_type.ram_gb
        for entry in self.entries.values():
            if entry.phase in FINISHED_PHASES:
                continue
            if entry.spec is None:
                return NOTHING_FREE
            cpus -= entry.spec.cpus
            gpus -= entry.spec.gpus
            ram_gb -= entry.spec.ram_gb
        return FreeResources(cpus, gpus, ram_gb)

    def has_room_for(self, spec: JobSpec) -> bool:
        """Return whether one more task of the job fits on the machine."""
        free = self.free_resources()
        return (
            spec.cpus <= free.cpus + ROUNDING_TOLERANCE
            and spec.gpus <= free.gpus + ROUNDING_TOLERANCE
            and spec.ram_gb <= free.ram_gb + ROUNDING_TOLERANCE
        )

    def runs_only_services(self) -> bool:
        """Return whether no task that ends by itself is here, so that no scheduler waits for news in heartbeats."""
        return all(
            entry.spec is not None and entry.spec.kind == SERVICE and entry.phase is not Phase.ENDED
            for entry in self.entries.values()
        )

    def record_image_use(self, image: str) -> None:
        """Record the use of an image; only the most recently used images are kept, as in the agent's cache."""
        self.images.pop(image, None)
        self.images[image] = None
        while len(self.images) > CACHED_IMAGES_KEPT:
            self.images.pop(next(iter(self.images)))

    def request_reap(self, key: TaskKey, entry: TaskEntry) -> None:
        """Mark an attempt to be stopped and dropped, whoever requested it.

        An attempt that is not on the machine is dropped at once.
        """
        entry.desired, entry.grace = DesiredState.REAP, NO_TIME
        if entry.phase in (Phase.QUEUED, Phase.REFUSED, Phase.GONE):
            del self.entries[key]

    def record_skipped_heartbeat(self, heartbeat_id: HeartbeatId) -> None:
        """Record the id of a heartbeat that was not applied, so that the next one does not seem to follow a gap."""
        if heartbeat_id.agent_epoch == self.last_heartbeat_id.agent_epoch:
            self.last_heartbeat_id = max(self.last_heartbeat_id, heartbeat_id)

    def latest_reply(self) -> timedelta:
        """Return the last moment at which the agent may have received a reply, as far as it is known in this view.

        `no_other_owner_since` may be in the future: a controller that was left out of the view may still reply for a
        moment, and the last reply of this controller may not arrive.
        """
        return max(self.last_reply_at or self.no_other_owner_since, self.no_other_owner_since)
