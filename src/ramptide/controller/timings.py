"""How long a controller may act on what it knows, derived from the times that agents keep."""

from dataclasses import dataclass
from datetime import timedelta

from ramptide.agents.lease_expiry import CLOCK_DRIFT
from ramptide.protocol.settings_file import AgentTimings

__all__ = ["ControllerTimings"]

#: Left of the cancellation timeout for the replies that are on their way when renewals end.
RENEWAL_MARGIN = timedelta(seconds=2)
#: Long enough for a restart of a controller that has to agree, short enough for a new view, which waits for it.
MAX_RENEWAL_PROOF_AGE = timedelta(seconds=6)
#: Share of the cancellation timeout after which a machine that can't be proven free of a cancelled task is returned.
#: What is left has to suffice for a leader that starts anew just before: its election, three missed heartbeats, and the
#: return.
CONFIRM_TIMEOUT_SHARE = 0.5


@dataclass(frozen=True, slots=True)
class ControllerTimings:
    """Durations of one cluster.

    Attributes
    ----------
    heartbeat_interval, lease_duration
        How often agents send heartbeats, and how long an agent goes on after its last answered one.
    cancel_timeout
        The longest that a task of a cancelled job may run after the confirmation.
    confirm_timeout
        How long a cancelled task may be on a silent machine before the machine is returned.
    max_renewal_proof_age
        For how long after the last proof of membership leases may be renewed.
    """

    heartbeat_interval: timedelta
    lease_duration: timedelta
    cancel_timeout: timedelta
    confirm_timeout: timedelta
    max_renewal_proof_age: timedelta

    @classmethod
    def of_agents(cls, agents: AgentTimings) -> "ControllerTimings":
        """Derive the durations from the settings."""
        lease_duration = timedelta(seconds=agents.lease_s)
        cancel_timeout = timedelta(seconds=agents.cancel_timeout_s)
        # A member without proof of its view may renew leases only so long that they end in time for any
        # cancellation that others may have promised since; and not for long, since others wait for its end.
        ends_in_time = cancel_timeout - lease_duration * CLOCK_DRIFT - RENEWAL_MARGIN
        return cls(
            heartbeat_interval=timedelta(seconds=agents.heartbeat_interval_s),
            lease_duration=lease_duration,
            cancel_timeout=cancel_timeout,
            confirm_timeout=cancel_timeout * CONFIRM_TIMEOUT_SHARE,
            max_renewal_proof_age=min(ends_in_time, MAX_RENEWAL_PROOF_AGE),
        )
