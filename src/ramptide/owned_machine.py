"""A machine whose worker reports to this controller."""

from dataclasses import dataclass, field
from datetime import timedelta

from ramptide import wire
from ramptide.placement import ROUNDING
from ramptide.records import MachineRecord
from ramptide.task_state import FINISHED, NO_TIME, DesiredState, Phase, TaskEntry, TaskKey

CACHED_IMAGES_KEPT = 40


@dataclass(slots=True)
class OwnedMachine:
    """A machine that this controller owns in the present view.

    `settled`: no reply of an earlier view can be carried out any more. `has_current_token`: the last report was made
    after the worker saw the token of this view. `last_report_id`: tenure and tally of the last report. `raw_tasks`: the
    encoded list of tasks of the last report that was compared with the entries. `reclaimed_at`: when the cloud takes
    the machine back.
    """

    host: str
    record: MachineRecord
    flavor: wire.Flavor | None
    settled: bool
    #: No other controller of this view has answered it after this moment; if `bounded`, none of an earlier one either.
    since: timedelta
    bounded: bool = False
    entries: dict[TaskKey, TaskEntry] = field(default_factory=dict)
    last_report_id: tuple[int, int] = (0, 0)
    unreachable_since: timedelta | None = None
    silent: bool = False
    raw_tasks: bytes | None = None
    last_report: timedelta | None = None
    last_answer: timedelta | None = None
    reclaimed_at: timedelta | None = None
    images: dict[str, None] = field(default_factory=dict)
    up: bool = False
    has_current_token: bool = False
    failed_jobs: list[str] = field(default_factory=list)
    consecutive_failures: int = 0
    #: Where its worker can be called.
    address: str | None = None

    @property
    def unreachable(self) -> bool:
        """Whether its reports come, but our answers do not reach it."""
        return self.unreachable_since is not None

    def free(self) -> tuple[float, float, float]:
        """Return the cores, cards and memory that no attempt holds; none while an unknown job's task is here."""
        if self.flavor is None:
            return 0.0, 0.0, 0.0
        cores, cards, ram = self.flavor.cores, self.flavor.cards, self.flavor.ram_gb
        for entry in self.entries.values():
            if entry.phase in FINISHED:
                continue
            if entry.run is None:
                return 0.0, 0.0, 0.0
            cores -= entry.run.cores
            cards -= entry.run.cards
            ram -= entry.run.ram_gb
        return cores, cards, ram

    def has_room_for(self, run: wire.Run) -> bool:
        """Tell whether one more task of the job fits."""
        cores, cards, ram = self.free()
        return run.cores <= cores + ROUNDING and run.cards <= cards + ROUNDING and run.ram_gb <= ram + ROUNDING

    def runs_only_services(self) -> bool:
        """Tell whether nothing runs here that ends by itself, so that nobody waits for news in the reports."""
        return all(
            entry.run is not None and entry.run.shape == wire.SERVICE and entry.phase is not Phase.ENDED
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
        if report_id[0] == self.last_report_id[0]:
            self.last_report_id = max(self.last_report_id, report_id)

    def latest_answer(self) -> timedelta:
        """Return the last moment at which its worker may have got an answer, as far as this view tells.

        `since` may lie ahead: a controller that was left out of the view may answer for a moment yet, and our own
        answer may not arrive.
        """
        return max(self.last_answer or self.since, self.since)
