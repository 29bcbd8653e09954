"""The command line: run a controller, or talk to one through its administration API."""

import argparse
import json
import logging
import os
import sys
from datetime import timedelta
from pathlib import Path

from ramptide import __version__, settings
from ramptide.admin import METRICS_PATH, SETTINGS_PATH, STATUS_PATH
from ramptide.context import JSON, Reply
from ramptide.http.address import parse_address
from ramptide.http.client import Client
from ramptide.loop import Loop

LEVELS = {"error": logging.ERROR, "info": logging.INFO, "debug": logging.DEBUG}
ADMIN_TIMEOUT = timedelta(seconds=10)
USAGE_ERROR = 2


def parser() -> argparse.ArgumentParser:
    top = argparse.ArgumentParser(prog="ramptide", description="Rents machines and runs users' jobs on them.")
    top.add_argument("--version", action="version", version=f"ramptide {__version__}")
    top.add_argument("--config", metavar="PATH", type=Path, help="run a controller with this settings file")
    commands = top.add_subparsers(dest="command", title="commands")
    admin = commands.add_parser("admin", help="talk to a running controller's administration API")
    admin.add_argument("--address", required=True, metavar="HOST:PORT", help="the controller's peer address")
    verbs = admin.add_subparsers(dest="verb", required=True, title="verbs")
    verbs.add_parser("settings", help="show all settings with their defaults and bounds")
    change = verbs.add_parser("set", help="change settings on every controller")
    change.add_argument("changes", nargs="+", metavar="NAME=VALUE")
    verbs.add_parser("status", help="show the view, machines, jobs and counts")
    verbs.add_parser("metrics", help="show the metrics in the Prometheus text format")
    return top


def main(arguments: list[str] | None = None) -> int:
    top = parser()
    options = top.parse_args(arguments)
    if options.command == "admin":
        return _admin(options)
    if options.config is None:
        top.error("one of --config and the command admin is needed")
    return _run(options.config)


def _run(path: Path) -> int:
    try:
        loaded = settings.load(path)
    except settings.SettingsError as error:
        print(f"ramptide: {error}", file=sys.stderr)
        return USAGE_ERROR
    level = os.environ.get("LOG_LEVEL", "info")
    if level not in LEVELS:
        print(f"ramptide: LOG_LEVEL: {level!r} is none of {', '.join(LEVELS)}", file=sys.stderr)
        return USAGE_ERROR
    logging.basicConfig(
        stream=sys.stderr, level=LEVELS[level], format=f"%(asctime)s {loaded.member} %(levelname)s %(message)s"
    )
    from ramptide.service import Service

    try:
        service = Service(loaded)
    except OSError as error:
        print(f"ramptide: cannot listen: {error}", file=sys.stderr)
        return 1
    service.run()
    return 0


def _admin(options: argparse.Namespace) -> int:
    try:
        parse_address(options.address)
    except ValueError as error:
        print(f"ramptide: --address: {error}", file=sys.stderr)
        return USAGE_ERROR
    method, target, body = "GET", {"status": STATUS_PATH, "metrics": METRICS_PATH}.get(options.verb, SETTINGS_PATH), b""
    if options.verb == "set":
        changes = {}
        for change in options.changes:
            name, equals, value = change.partition("=")
            try:
                changes[name] = json.loads(value)
            except ValueError:
                print(f"ramptide: {change}: not NAME=VALUE with a number", file=sys.stderr)
                return USAGE_ERROR
        method, body = "PATCH", json.dumps(changes).encode()
    reply = _call(options.address, method, target, body)
    if reply is None:
        print(f"ramptide: {options.address} does not answer", file=sys.stderr)
        return 1
    text = reply.body.decode("utf-8", "replace")
    if options.verb != "metrics" and reply.status == 200:
        text = json.dumps(json.loads(text), indent=2)
    print(text, file=sys.stdout if reply.status == 200 else sys.stderr)
    return 0 if reply.status == 200 else 1


def _call(address: str, method: str, target: str, body: bytes) -> Reply | None:
    loop = Loop()
    answers: list[Reply | None] = []

    def done(reply: Reply | None) -> None:
        answers.append(reply)
        loop.stop()

    Client(loop, 1).call(address, method, target, body, JSON, ADMIN_TIMEOUT, done)
    loop.run()
    return answers[0]
