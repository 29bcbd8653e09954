"""How many tasks of a waiting job fit into rooms, where an error in one job does not end the leader's step."""

from collections import Counter
from collections.abc import Iterable

from ramptide.placement.bin_packing import Room, fill_rooms
from ramptide.protocol.jobs import JobSpec
from ramptide.transport.isolated_errors import IsolatedErrors

__all__ = ["DemandFitting"]


class DemandFitting:
    """Fills rooms with tasks of one job after the other; tasks of a job whose evaluation fails fit nowhere."""

    def __init__(self, errors: IsolatedErrors) -> None:
        self._errors = errors

    def fill(self, spec: JobSpec, tasks: int, rooms: Iterable[Room], placed_by_zone: Counter[str]) -> int:
        """Return how many of `tasks` tasks of the job find room, as `fill_rooms` does."""
        try:
            return fill_rooms(spec, tasks, rooms, placed_by_zone)
        except Exception:
            self._errors.record("demand", spec.job_id)
            return 0
