"""The command line: runs a controller, or sends requests to the administration API of one."""

import argparse
import json
import logging
import os
import sys
from datetime import timedelta
from http import HTTPStatus
from importlib import import_module
from pathlib import Path
from typing import Any

from ramptide import __version__
from ramptide.api.administration import METRICS_PATH, QUOTA_PATH, SETTINGS_PATH, STATUS_PATH
from ramptide.config import settings
from ramptide.config.features import load_features
from ramptide.transport.event_loop import EventLoop
from ramptide.transport.http.address import parse_address
from ramptide.transport.http.client import Client
from ramptide.transport.runtime import Request, Response

LOG_LEVELS = {"error": logging.ERROR, "info": logging.INFO, "debug": logging.DEBUG}
ADMIN_TIMEOUT = timedelta(seconds=10)
EXIT_FAILURE = 1
EXIT_USAGE_ERROR = 2
ADMIN_PATHS = {
    "settings": SETTINGS_PATH,
    "set": SETTINGS_PATH,
    "status": STATUS_PATH,
    "metrics": METRICS_PATH,
    "quota": QUOTA_PATH,
}


class ChangeSyntaxError(ValueError):
    """Arguments that do not form valid changes, such as one that is not NAME=VALUE with a JSON value."""


def build_parser() -> argparse.ArgumentParser:
    """Return the parser of the command line's arguments."""
    top_parser = argparse.ArgumentParser(prog="ramptide", description="Rents machines and runs users' jobs on them.")
    top_parser.add_argument("--version", action="version", version=f"ramptide {__version__}")
    top_parser.add_argument("--config", metavar="PATH", type=Path, help="run a controller with this settings file")
    top_parser.add_argument("--parts", metavar="PATH", type=Path, help="the file that switches parts of the service on")
    commands = top_parser.add_subparsers(dest="command", title="commands")
    commands.add_parser("compile", help="compile the modules of a controller, so that it starts sooner")
    admin = commands.add_parser("admin", help="talk to a running controller's administration API")
    admin.add_argument("--address", required=True, metavar="HOST:PORT", help="the controller's peer address")
    verbs = admin.add_subparsers(dest="verb", required=True, title="verbs")
    verbs.add_parser("settings", help="show all settings with their defaults and bounds")
    change = verbs.add_parser("set", help="change settings on every controller")
    change.add_argument("changes", nargs="+", metavar="NAME=VALUE")
    verbs.add_parser("status", help="show the view, machines, jobs and counts")
    verbs.add_parser("metrics", help="show the metrics in the Prometheus text format")
    limits = verbs.add_parser("quota", help="show the team limits, or change a team's on every controller")
    limits.add_argument("team", nargs="?", help="the team to change")
    limits.add_argument(
        "changes", nargs="*", metavar="FIELD=VALUE", help="cpus, cpus_max, gpus or gpus_max; or removed=true"
    )
    limits.add_argument("--reset", action="store_true", help="go back to the platform's limit of the team")
    quota = commands.add_parser("quota", help="team limits")
    plan = quota.add_subparsers(dest="verb", required=True, title="verbs").add_parser(
        "plan", help="tell whether limits and guarantees can hold on a fleet"
    )
    plan.add_argument("file", type=Path, help="a TOML file of machines and teams")
    return top_parser


def main(arguments: list[str] | None = None) -> int:
    """Run the program and return its exit status.

    Parameters
    ----------
    arguments
        The arguments after the program's name; by default those of the process.
    """
    top_parser = build_parser()
    options = top_parser.parse_args(arguments)
    if options.command == "admin":
        return _run_admin_command(options)
    if options.command == "quota":
        return _run_quota_plan(options.file)
    if options.command == "compile":
        return _compile_modules()
    if options.config is None:
        top_parser.error("one of --config and the commands compile, admin and quota is needed")
    return _run_controller(options.config, options.parts)


def _compile_modules() -> int:
    """Import all modules that a controller uses, so that the interpreter writes their bytecode to its cache."""
    import_module("ramptide.service")
    import_module("ramptide.api.metrics")
    import_module("ramptide.quota.operators")
    import_module("ramptide.quota.planner")
    return 0


def _run_controller(path: Path, parts_path: Path | None) -> int:
    try:
        loaded = settings.load(path)
        features = load_features(parts_path) if parts_path is not None else None
    except settings.SettingsError as error:
        return _report_error(str(error), EXIT_USAGE_ERROR)
    level = os.environ.get("LOG_LEVEL", "info")
    if level not in LOG_LEVELS:
        return _report_error(f"LOG_LEVEL: {level!r} is none of {', '.join(LOG_LEVELS)}", EXIT_USAGE_ERROR)
    logging.basicConfig(
        stream=sys.stderr, level=LOG_LEVELS[level], format=f"%(asctime)s {loaded.member} %(levelname)s %(message)s"
    )
    # Imported here because the administration commands need no module of the controller.
    from ramptide.service import Service

    try:
        service = Service(loaded, features)
    except OSError as error:
        return _report_error(f"cannot listen: {error}")
    service.run()
    return 0


def _run_admin_command(options: argparse.Namespace) -> int:
    try:
        parse_address(options.address)
    except ValueError as error:
        return _report_error(f"--address: {error}", EXIT_USAGE_ERROR)
    try:
        changes = _requested_changes(options)
    except ChangeSyntaxError as error:
        return _report_error(str(error), EXIT_USAGE_ERROR)
    method, body = ("GET", b"") if changes is None else ("PATCH", json.dumps(changes).encode())
    reply = _send_request(options.address, method, ADMIN_PATHS[options.verb], body)
    if reply is None:
        return _report_error(f"{options.address} does not answer")
    succeeded = reply.status in (HTTPStatus.OK, HTTPStatus.ACCEPTED)
    text = reply.body.decode("utf-8", "replace")
    if options.verb != "metrics" and succeeded:
        text = json.dumps(json.loads(text), indent=2)
    print(text, file=sys.stdout if succeeded else sys.stderr)
    return 0 if succeeded else EXIT_FAILURE


def _requested_changes(options: argparse.Namespace) -> dict[str, Any] | None:
    """Return the changes that the command requests; None when it only shows something."""
    if options.verb == "set":
        return _parse_changes(options.changes)
    if options.verb != "quota" or options.team is None:
        return None
    if bool(options.changes) is options.reset:
        raise ChangeSyntaxError(f"{options.team}: either some FIELD=VALUE or --reset")
    return {options.team: None if options.reset else _parse_changes(options.changes)}


def _run_quota_plan(path: Path) -> int:
    """Print the report on a plan file; return exit status 0 when all limits and guarantees can hold."""
    # Imported here because only this command needs the module, whose solver is not installed with the service.
    from ramptide.quota.planner import PlanError, plan

    try:
        report = plan(path)
    except PlanError as error:
        return _report_error(str(error), EXIT_USAGE_ERROR)
    print("\n".join(report.lines()))
    return 0 if report.is_feasible else EXIT_FAILURE


def _parse_changes(arguments: list[str]) -> dict[str, Any]:
    """Return the changes that NAME=VALUE arguments give, whose values are JSON."""
    changes = {}
    for argument in arguments:
        name, _, value = argument.partition("=")
        try:
            changes[name] = json.loads(value)
        except ValueError as error:
            raise ChangeSyntaxError(f"{argument}: not NAME=VALUE with a JSON value") from error
    return changes


def _report_error(text: str, status: int = EXIT_FAILURE) -> int:
    """Print an error and return the exit status of the program."""
    print(f"ramptide: {text}", file=sys.stderr)
    return status


def _send_request(address: str, method: str, target: str, body: bytes) -> Response | None:
    """Send one request and return the response; None when the controller does not answer."""
    loop = EventLoop()
    replies: list[Response | None] = []

    def on_response(reply: Response | None) -> None:
        replies.append(reply)
        loop.stop()

    Client(loop, max_connections=1).call(Request(address, method, target, ADMIN_TIMEOUT, body), on_response)
    loop.run()
    return replies[0]
