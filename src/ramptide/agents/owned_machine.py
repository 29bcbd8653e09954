"""A machine whose agent sends its heartbeats to this controller."""

from dataclasses import dataclass, field
from datetime import timedelta
from typing import NamedTuple

from ramptide.placement.bin_packing import ROUNDING
from ramptide.protocol.agents import Heartbeat
from ramptide.protocol.cloud import MachineType
from ramptide.protocol.jobs import SERVICE, JobSpec
from ramptide.state.records import MachineRecord
from ramptide.state.task_state import FINISHED_PHASES, NO_TIME, DesiredState, Phase, TaskEntry, TaskKey

__all__ = ["CACHED_IMAGES_KEPT", "FreeResources", "HeartbeatId", "OwnedMachine"]

CACHED_IMAGES_KEPT = 40


class HeartbeatId(NamedTuple):
    """Identifies a heartbeat of one agent; a later heartbeat has a greater one.

    `agent_epoch` grows with each start of the agent, `sequence_number` with each heartbeat of that epoch.
    """

    agent_epoch: int
    sequence_number: int

    @classmethod
    def of(cls, heartbeat: Heartbeat) -> "HeartbeatId":
        """Return the id of a heartbeat."""
        return cls(heartbeat.agent_epoch, heartbeat.sequence_number)

    def directly_follows(self, previous: "HeartbeatId") -> bool:
        """Whether the agent sent no other heartbeat in between."""
        return self.agent_epoch == previous.agent_epoch and self.sequence_number == previous.sequence_number + 1


#: Older than every heartbeat.
NO_HEARTBEAT = HeartbeatId(0, 0)


class FreeResources(NamedTuple):
    """What no attempt on a machine holds; `ram_gb` in gigabytes."""

    cpus: float
    gpus: float
    ram_gb: float


NOTHING_FREE = FreeResources(0.0, 0.0, 0.0)


@dataclass(slots=True)
class OwnedMachine:
    """A machine that this controller owns in the present view. All moments are of the monotonic clock."""

    host: str
    record: MachineRecord
    #: None while the cloud's list of types does not show it.
    machine_type: MachineType | None
    #: Whether no reply of an earlier view can be carried out any more.
    is_reconciled: bool
    #: No other controller of this view has replied to it after this moment.
    no_other_owner_since: timedelta
    #: Whether no controller of an earlier view has replied to it after that moment either.
    no_earlier_owner_since: bool = False
    entries: dict[TaskKey, TaskEntry] = field(default_factory=dict)
    last_heartbeat_id: HeartbeatId = NO_HEARTBEAT
    #: Since when its heartbeats show that our replies do not arrive; None while they do.
    unreachable_since: timedelta | None = None
    missed_heartbeats: bool = False
    #: The encoded tasks of the last heartbeat that was compared with the entries.
    raw_tasks: bytes | None = None
    last_heartbeat_at: timedelta | None = None
    last_reply_at: timedelta | None = None
    #: When the cloud takes the machine back; None when it has not announced that.
    preempted_at: timedelta | None = None
    #: An ordered set of the images that the agent has cached; the most recently used is the last.
    images: dict[str, None] = field(default_factory=dict)
    is_up: bool = False
    #: Whether the last heartbeat was made after the agent saw the fencing token of this view.
    has_current_token: bool = False
    #: The last different jobs that failed here, the latest last.
    failed_jobs: list[str] = field(default_factory=list)
    #: How many of the last `failed_jobs` failed with no success here since.
    consecutive_failures: int = 0
    #: Where its agent can be called.
    address: str | None = None

    @property
    def is_unreachable(self) -> bool:
        """Whether its heartbeats come, but our replies do not reach it."""
        return self.unreachable_since is not None

    def free_resources(self) -> FreeResources:
        """Return what no attempt holds; nothing while a task of an unknown job is here."""
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
        """Tell whether one more task of the job fits."""
        free = self.free_resources()
        return (
            spec.cpus <= free.cpus + ROUNDING
            and spec.gpus <= free.gpus + ROUNDING
            and spec.ram_gb <= free.ram_gb + ROUNDING
        )

    def runs_only_services(self) -> bool:
        """Tell whether nothing runs here that ends by itself, so that nobody waits for news in the heartbeats."""
        return all(
            entry.spec is not None and entry.spec.kind == SERVICE and entry.phase is not Phase.ENDED
            for entry in self.entries.values()
        )

    def record_image_use(self, image: str) -> None:
        """Keep the most recently used images, as the agent caches them."""
        self.images.pop(image, None)
        self.images[image] = None
        while len(self.images) > CACHED_IMAGES_KEPT:
            self.images.pop(next(iter(self.images)))

    def request_reap(self, key: TaskKey, entry: TaskEntry) -> None:
        """Have an attempt stopped and forgotten, whoever asked for it; at once if it is not on the machine."""
        entry.desired, entry.grace = DesiredState.REAP, NO_TIME
        if entry.phase in (Phase.QUEUED, Phase.REFUSED, Phase.GONE):
            del self.entries[key]

    def skip_heartbeat(self, heartbeat_id: HeartbeatId) -> None:
        """Count a heartbeat that was not taken, so that the next does not look as if one had gone elsewhere."""
        if heartbeat_id.agent_epoch == self.last_heartbeat_id.agent_epoch:
            self.last_heartbeat_id = max(self.last_heartbeat_id, heartbeat_id)

    def latest_reply(self) -> timedelta:
        """Return the last moment at which its agent may have got a reply, as far as this view tells.

        `no_other_owner_since` may lie ahead: a controller that was left out of the view may reply for a moment yet,
        and our own reply may not arrive.
        """
        return max(self.last_reply_at or self.no_other_owner_since, self.no_other_owner_since)
