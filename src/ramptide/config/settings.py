"""Reads and checks the settings file of the platform."""

from pathlib import Path

from ramptide.protocol.settings_file import AgentTimings, Settings, decode_settings
from ramptide.protocol.types import MessageError
from ramptide.transport.http.address import parse_address

__all__ = ["SettingsError", "load"]


class SettingsError(ValueError):
    """A wrong setting; the message is one line for operators that names the field."""


def load(path: Path) -> Settings:
    """Read and check the settings file.

    Raises
    ------
    SettingsError
        If the file cannot be read, or a field of it is wrong.
    """
    try:
        body = path.read_bytes()
    except OSError as error:
        raise SettingsError(f"{path}: {error.strerror}") from error
    try:
        settings = decode_settings(body)
    except MessageError as error:
        raise SettingsError(f"{path}: {error}") from error
    _check_addresses(path, settings)
    _check_names(path, settings)
    _check_agent_timings(path, settings.cluster.agents)
    return settings


def _check_addresses(path: Path, settings: Settings) -> None:
    addresses = {
        "client_listen": settings.client_address,
        "peer_bind": settings.peer_address,
        "outside.cloud": settings.services.cloud,
        "outside.state": settings.services.key_value_store,
    } | {f"siblings[{index}].addr": peer.address for index, peer in enumerate(settings.peers)}
    for field_name, address in addresses.items():
        try:
            parse_address(address)
        except ValueError as error:
            raise SettingsError(f"{path}: {error} - at `$.{field_name}`") from error


def _check_names(path: Path, settings: Settings) -> None:
    names = [settings.member, *(peer.member for peer in settings.peers)]
    if len(set(names)) != len(names):
        raise SettingsError(f"{path}: two controllers have the same name - at `$.siblings`")
    teams = [team.name for team in settings.cluster.teams]
    if len(set(teams)) != len(teams):
        raise SettingsError(f"{path}: two teams have the same name - at `$.cluster.teams`")


def _check_agent_timings(path: Path, timings: AgentTimings) -> None:
    if timings.lease_s <= timings.heartbeat_interval_s:
        raise SettingsError(f"{path}: must be longer than report_s - at `$.cluster.workers.lease_s`")
    if timings.cancel_timeout_s <= timings.lease_s:
        raise SettingsError(f"{path}: must be longer than lease_s - at `$.cluster.workers.cancel_s`")
