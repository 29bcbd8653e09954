"""What users do in the virtual world: they submit, ask and cancel, again until they are answered."""

import json
import random
from typing import Any

from world import S, World


class Users:
    """They poll, and submit again, at any controller, and hold what they were told against it."""

    def __init__(self, world: World, rng: random.Random) -> None:
        self.world = world
        self.rng = rng
        self.final: dict[str, str] = {}

    def ask(self) -> None:
        ref = self.rng.choice([*sorted(self.world.jobs), "j-999999"])
        name, known = self.rng.choice(self.world.names), ref in self.world.accepted_jobs
        before = self.final.get(ref)

        def told(status: int, body: bytes, headers: dict[str, str]) -> None:
            self._judge(ref, known, before, status, json.loads(body))

        answer = self.world.observed(name, told)
        if known and self.rng.random() < 0.3:
            body = json.dumps(self.world.jobs[ref]).encode()
            self.world.ask(name, lambda c: c.desk.submit(body, answer))
        else:
            self.world.ask(name, lambda c: c.desk.poll(ref, answer))

    def _judge(self, ref: str, known: bool, before: str | None, status: int, said: dict[str, Any]) -> None:
        broken = self.world.rules.broken
        if known and status not in (200, 201, 503):
            broken.append(f"forgotten {ref}: {status}")
        if status != 200:
            return
        if ref not in self.world.jobs:
            broken.append(f"invented {ref}")
        # What somebody was told before this question was asked, or a cancellation confirmed, is never taken back.
        if before is not None and said["status"] != before:
            broken.append(f"went_back {ref}: {before} -> {said['status']}")
        if said["status"] in ("done", "withdrawn"):
            self.final[ref] = said["status"]
        if said["status"] == "withdrawn" and ref not in self.world.called_off:
            broken.append(f"went_back {ref}: cancelled by nobody")
        if said["status"] == "withdrawn":
            self.world.cancelled.setdefault(ref, self.world.now)


def submit(world: World, rng: random.Random, ref: str, tries: int = 20) -> None:
    body = json.dumps(world.jobs[ref]).encode()

    def again(status: int, *rest: object) -> None:
        if status in (200, 201):
            world.accepted_jobs.add(ref)
        elif tries:
            world.after(1 * S, lambda: submit(world, rng, ref, tries - 1))

    name = rng.choice(world.names)
    answer = world.observed(name, again)
    world.nodes[name].ask(lambda c: c.desk.submit(body, answer), lambda: again(503))


def withdraw(world: World, rng: random.Random, ref: str) -> None:
    world.called_off.add(ref)

    def told(status: int, body: bytes, headers: object) -> None:
        if status == 200 and b"withdrawn" in body:
            world.cancelled.setdefault(ref, world.now)
        elif status == 503:
            world.after(1 * S, lambda: withdraw(world, rng, ref))

    name = rng.choice(world.names)
    answer = world.observed(name, told)
    world.nodes[name].ask(
        lambda c: c.desk.cancel(ref, answer), lambda: world.after(1 * S, lambda: withdraw(world, rng, ref))
    )
