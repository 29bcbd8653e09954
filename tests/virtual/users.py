"""The users of the virtual world, who submit, poll and cancel jobs, and retry failed submissions and cancellations."""

import json
import random
from typing import Any

from virtual.clock import SECOND
from virtual.world import World

RETRY_INTERVAL = 1 * SECOND
#: A job that no user submits.
UNKNOWN_JOB_ID = "j-999999"


class Users:
    """Users who poll and resubmit jobs at random controllers, and compare each response with earlier ones."""

    def __init__(self, world: World, rng: random.Random) -> None:
        self.world = world
        self.rng = rng
        #: The reported status of jobs that are done or cancelled, by job id.
        self.final_statuses: dict[str, str] = {}

    def send_random_request(self) -> None:
        """Poll a random job, or submit it again if it was accepted."""
        job_id = self.rng.choice([*sorted(self.world.job_specs), UNKNOWN_JOB_ID])
        controller_name = self.rng.choice(self.world.controller_names)
        was_accepted = job_id in self.world.accepted_jobs
        known_status = self.final_statuses.get(job_id)

        def on_response(status: int, body: bytes, _headers: dict[str, str]) -> None:
            self._check_response(job_id, was_accepted, known_status, status, json.loads(body))

        respond = self.world.observed(controller_name, on_response)
        if was_accepted and self.rng.random() < 0.3:
            body = json.dumps(self.world.job_specs[job_id]).encode()
            self.world.request(controller_name, lambda controller: controller.job_api.submit(body, respond))
        else:
            self.world.request(controller_name, lambda controller: controller.job_api.poll(job_id, respond))

    def _check_response(
        self, job_id: str, was_accepted: bool, known_status: str | None, http_status: int, body: dict[str, Any]
    ) -> None:
        """Compare a response with what users knew when they sent the request."""
        violations = self.world.invariants.violations
        if was_accepted and http_status not in (200, 201, 503):
            violations.append(f"forgotten {job_id}: {http_status}")
        if http_status != 200:
            return
        if job_id not in self.world.job_specs:
            violations.append(f"invented {job_id}")
        status = body["status"]
        # A final status that a user had received before this request was sent never changes.
        if known_status is not None and status != known_status:
            violations.append(f"went_back {job_id}: {known_status} -> {status}")
        if status in ("done", "withdrawn"):
            self.final_statuses[job_id] = status
        if status == "withdrawn":
            if job_id not in self.world.cancel_requested:
                violations.append(f"went_back {job_id}: cancelled by nobody")
            self.world.cancelled_at.setdefault(job_id, self.world.now)


def submit_job(world: World, rng: random.Random, job_id: str, tries: int = 20) -> None:
    """Submit a job at a random controller, and retry up to `tries` times until it is accepted."""
    body = json.dumps(world.job_specs[job_id]).encode()

    def on_response(status: int, *_rest: object) -> None:
        if status in (200, 201):
            world.accepted_jobs.add(job_id)
        elif tries:
            world.after(RETRY_INTERVAL, lambda: submit_job(world, rng, job_id, tries - 1))

    controller_name = rng.choice(world.controller_names)
    respond = world.observed(controller_name, on_response)
    world.nodes[controller_name].request(
        lambda controller: controller.job_api.submit(body, respond), lambda: on_response(503)
    )


def cancel_job(world: World, rng: random.Random, job_id: str) -> None:
    """Cancel a job at a random controller, and retry while controllers are unavailable."""
    world.cancel_requested.add(job_id)

    def retry_later() -> None:
        world.after(RETRY_INTERVAL, lambda: cancel_job(world, rng, job_id))

    def on_response(status: int, body: bytes, _headers: object) -> None:
        if status == 200 and b"withdrawn" in body:
            world.cancelled_at.setdefault(job_id, world.now)
        elif status == 503:
            retry_later()

    controller_name = rng.choice(world.controller_names)
    respond = world.observed(controller_name, on_response)
    world.nodes[controller_name].request(lambda controller: controller.job_api.cancel(job_id, respond), retry_later)
