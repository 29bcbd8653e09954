"""Reports of workers: who answers them, when, and with what."""

import logging
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta
from typing import TYPE_CHECKING

from ramptide.owned_machine import OwnedMachine
from ramptide.protocol.agents import Heartbeat, decode_heartbeat, encode_heartbeat_reply, encode_redirect
from ramptide.protocol.types import MessageError, encode_json

if TYPE_CHECKING:
    from ramptide.app import Controller

log = logging.getLogger(__name__)

ZERO = timedelta(0)

HeartbeatReply = Callable[[int, bytes], None]


@dataclass(slots=True)
class Held:
    """A report whose answer is delayed for a short time, in case a task is started on the machine."""

    answer: HeartbeatReply
    until: timedelta


class Reports:
    """Answers the workers' reports, some of them with a delay."""

    def __init__(self, controller: "Controller") -> None:
        self._c = controller
        self._held: dict[str, Held] = {}

    def new_view(self) -> None:
        """Answer all delayed reports, so that the workers learn their owners and the new token at once."""
        c = self._c
        held, self._held = self._held, {}
        for host, one in held.items():
            if c.may_answer() and c.owner(host) != c.member:
                one.answer(421, encode_redirect(c.owner(host)))
            else:
                self._reply(host, one.answer)

    def forget(self, host: str) -> None:
        """Answer a machine's delayed report with 503, if there is one."""
        held = self._held.pop(host, None)
        if held is not None:
            held.answer(503, b"")

    def receive_heartbeat(self, body: bytes, answer: HeartbeatReply) -> None:
        """Take a worker's report (a heartbeat) and answer it now or, while no news is expected, later."""
        c = self._c
        try:
            heartbeat = decode_heartbeat(body)
        except MessageError as error:
            answer(400, encode_json({"error": str(error)}))
            return
        view = c.view
        if view is None or c.mirror.proof is None:
            answer(503, b"{}")
            return
        owner = c.owner(heartbeat.host)
        if owner != c.member:
            self._not_ours(owner, answer)
            return
        if c.shard is None or not c.may_answer() or heartbeat.fencing_token > view.number:
            answer(503, b"{}")
            return
        try:
            fresh = c.shard.reports.take(heartbeat, c.context.now)
        except MessageError as error:
            answer(400, encode_json({"error": str(error)}))
            return
        if not fresh:
            # A late copy: it may not use up an order, nor count as answered.
            answer(503, b"{}")
            return
        self.forget(heartbeat.host)
        machine = c.shard.machines.get(heartbeat.host)
        if machine is not None and self._worth_holding(machine) and not c.shard.commands.pending(heartbeat.host):
            self._held[heartbeat.host] = Held(answer, c.context.now + c.tuning.hold)
            return
        self._reply(heartbeat.host, answer)

    def take_direct(self, heartbeat: Heartbeat) -> None:
        """Take the report with which a worker responded to the announcement of our token.

        Only as the first one of the view: until then no reply of ours can be under way to the worker, so what the
        report lacks is not there. Other controllers may have answered it up to now, and its lease counts from then on.
        """
        c = self._c
        machine = c.shard.machines.get(heartbeat.host) if c.shard is not None else None
        if machine is None or c.shard is None or heartbeat.fencing_token != c.shard.view:
            return
        if machine.last_heartbeat_at is not None:
            machine.skip_to((heartbeat.agent_epoch, heartbeat.sequence_number))
            return
        try:
            fresh = c.may_answer() and c.shard.reports.take(heartbeat, c.context.now)
        except MessageError as error:
            log.debug("report of %s: %s", heartbeat.host, error)
            return
        if fresh:
            machine.since = max(machine.since, c.context.now)

    def _not_ours(self, owner: str, answer: HeartbeatReply) -> None:
        if not self._c.may_renew():
            answer(503, b"{}")
        else:
            answer(421, encode_redirect(owner))

    def _worth_holding(self, machine: OwnedMachine) -> bool:
        """Tell whether the answer may wait for a start: no task is there that ends and would be reported."""
        return (
            self._c.tuning.hold > ZERO
            and machine.has_current_token
            and not machine.unreachable
            and machine.record.drain_reason is None
            and machine.preempted_at is None
            and machine.runs_only_services()
        )

    def _reply(self, host: str, answer: HeartbeatReply) -> None:
        c = self._c
        if c.shard is None or c.view is None or not c.may_answer():
            answer(503, b"{}")
            return
        machine = c.shard.machines.get(host)
        orders = c.shard.commands.take(host, c.context.now, c.may_start())
        if machine is not None:
            machine.last_reply_at = c.context.now
        answer(200, encode_heartbeat_reply(c.view.number, orders))

    def answer_held(self, now: timedelta) -> None:
        """Answer the delayed reports that are due or whose machines have commands."""
        shard = self._c.shard
        for host, held in list(self._held.items()):
            notify = shard is not None and host in shard.hosts_to_notify and shard.commands.pending(host)
            if held.until <= now or notify:
                del self._held[host]
                self._reply(host, held.answer)
        if shard is not None:
            shard.hosts_to_notify.clear()
