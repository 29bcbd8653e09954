"""A machine whose worker reports to this controller."""

from dataclasses import dataclass, field
from datetime import timedelta

from ramptide.placement.bin_packing import ROUNDING
from ramptide.protocol.cloud import MachineType
from ramptide.protocol.jobs import SERVICE, JobSpec
from ramptide.state.records import MachineRecord
from ramptide.state.task_state import FINISHED_PHASES, NO_TIME, DesiredState, Phase, TaskEntry, TaskKey

CACHED_IMAGES_KEPT = 40


@dataclass(slots=True)
class OwnedMachine:
    """A machine that this controller owns in the present view.

    `is_reconciled`: no reply of an earlier view can be carried out any more. `has_current_token`: the last heartbeat
    was sent after the agent saw the fencing token of this view. `last_heartbeat_id`: agent epoch and sequence number of
    the last heartbeat. `raw_tasks`: the encoded list of tasks of the last heartbeat that was compared with the entries.
    `preempted_at`: when the cloud takes the machine back.
    """

    host: str
    record: MachineRecord
    machine_type: MachineType | None
    is_reconciled: bool
    #: No other controller of this view has answered it after this moment; if `bounded`, none of an earlier one either.
    no_other_owner_since: timedelta
    no_earlier_owner_since: bool = False
    entries: dict[TaskKey, TaskEntry] = field(default_factory=dict)
    last_heartbeat_id: tuple[int, int] = (0, 0)
    unreachable_since: timedelta | None = None
    missed_heartbeats: bool = False
    raw_tasks: bytes | None = None
    last_heartbeat_at: timedelta | None = None
    last_reply_at: timedelta | None = None
    preempted_at: timedelta | None = None
    images: dict[str, None] = field(default_factory=dict)
    is_up: bool = False
    has_current_token: bool = False
    failed_jobs: list[str] = field(default_factory=list)
    consecutive_failures: int = 0
    #: Where its worker can be called.
    address: str | None = None

    @property
    def is_unreachable(self) -> bool:
        """Whether its reports come, but our answers do not reach it."""
        return self.unreachable_since is not None

    def free(self) -> tuple[float, float, float]:
        """Return the CPUs, GPUs and memory that no attempt holds; none while an unknown job's task is here."""
        if self.machine_type is None:
            return 0.0, 0.0, 0.0
        cpus, gpus, ram_gb = self.machine_type.cpus, self.machine_type.gpus, self.machine_type.ram_gb
        for entry in self.entries.values():
            if entry.phase in FINISHED_PHASES:
                continue
            if entry.spec is None:
                return 0.0, 0.0, 0.0
            cpus -= entry.spec.cpus
            gpus -= entry.spec.gpus
            ram_gb -= entry.spec.ram_gb
        return cpus, gpus, ram_gb

    def has_room_for(self, spec: JobSpec) -> bool:
        """Tell whether one more task of the job fits."""
        cpus, gpus, ram_gb = self.free()
        return spec.cpus <= cpus + ROUNDING and spec.gpus <= gpus + ROUNDING and spec.ram_gb <= ram_gb + ROUNDING

    def runs_only_services(self) -> bool:
        """Tell whether nothing runs here that ends by itself, so that nobody waits for news in the reports."""
        return all(
            entry.spec is not None and entry.spec.kind == SERVICE and entry.phase is not Phase.ENDED
            for entry in self.entries.values()
        )

    def record_image_use(self, image: str) -> None:
        """Keep the most recently used images, as the worker caches them."""
        self.images.pop(image, None)
        self.images[image] = None
        while len(self.images) > CACHED_IMAGES_KEPT:
            self.images.pop(next(iter(self.images)))

    def clear_away(self, key: TaskKey, entry: TaskEntry) -> None:
        """Have an attempt stopped and forgotten, whoever asked for it."""
        entry.desired, entry.grace = DesiredState.REAP, NO_TIME
        if entry.phase in (Phase.QUEUED, Phase.REFUSED, Phase.GONE):
            del self.entries[key]

    def skip_to(self, report_id: tuple[int, int]) -> None:
        """Count a report that was not taken, so that the next one does not look as if one had gone elsewhere."""
        if report_id[0] == self.last_heartbeat_id[0]:
            self.last_heartbeat_id = max(self.last_heartbeat_id, report_id)

    def latest_reply(self) -> timedelta:
        """Return the last moment at which its worker may have got an answer, as far as this view tells.

        `since` may lie ahead: a controller that was left out of the view may answer for a moment yet, and our own
        answer may not arrive.
        """
        return max(self.last_reply_at or self.no_other_owner_since, self.no_other_owner_since)
