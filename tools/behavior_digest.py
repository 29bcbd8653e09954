"""Prints digests of everything that controllers send in generated histories, to compare the behaviour of two versions.

    python3 tools/behavior_digest.py FIRST LAST [--jobs N] [--seconds S]

Each seed is played four times: with single and with overlapping faults, each with the quota feature off and on. The
output has one line for each seed (the seed, the number of requests that controllers sent, and the SHA-256 digest of
these requests and of all responses of the controllers), and one line for all seeds. Only times, hosts and the contents
of messages are hashed, so that two versions that differ only in names print the same.
"""

import argparse
import hashlib
import multiprocessing
import os
import sys
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from datetime import timedelta
from functools import partial
from http import HTTPStatus
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
#: The sources, the generated histories and the libraries, which may also be installed in the environment.
SOURCE_FOLDERS = [ROOT / "src", ROOT / "tests", ROOT / "target" / "ci"]
MICROSECOND = timedelta(microseconds=1)
#: The hash seed of all runs, as the order of the elements of sets of strings depends on it.
HASH_SEED = "0"


class DigestObserver:
    """Computes a digest of what controllers send; implements `virtual.Observer`."""

    def __init__(self) -> None:
        self.request_count = 0
        self._hash = hashlib.sha256()

    def on_request(
        self,
        now: timedelta,
        sender: str,
        address: str,
        method: str,
        target: str,
        content_type: str,
        body: bytes,
        timeout: timedelta,
    ) -> None:
        """Add a request to another host."""
        self.request_count += 1
        self._add("call", now, sender, address, method, target, content_type, body, timeout)

    def on_response(self, now: timedelta, sender: str, status: int, body: bytes, headers: dict[str, str]) -> None:
        """Add a response to a user, an agent or a peer."""
        self._add("answer", now, sender, status, body, len(headers))
        for name, value in headers.items():
            self._add(name, value)

    def begin_history(self, number: int) -> None:
        """Add a separator before the events of a history."""
        self._add("history", number)

    def hexdigest(self) -> str:
        """Return the digest of everything added so far."""
        return self._hash.hexdigest()

    def _add(self, *values: str | bytes | int | timedelta) -> None:
        for value in values:
            type_tag, encoded = _encode(value)
            self._hash.update(b"%s%d:" % (type_tag, len(encoded)))
            self._hash.update(encoded)


def _encode(value: str | bytes | int | timedelta) -> tuple[bytes, bytes]:
    """Return a letter for the type, and the value as bytes.

    Raises
    ------
    TypeError
        If the value is of a type whose text may differ between two versions with the same behaviour.
    """
    if isinstance(value, bytes):
        return b"b", value
    if isinstance(value, timedelta):
        return b"t", str(value // MICROSECOND).encode()
    if type(value) is int or isinstance(value, HTTPStatus):
        return b"i", str(int(value)).encode()
    if type(value) is str:
        return b"s", value.encode()
    raise TypeError(f"cannot hash a value of type {type(value)}: expected str, bytes, int or timedelta")


@dataclass(frozen=True)
class SeedDigest:
    """The number of requests, and the digest, of the four histories of one seed."""

    seed: int
    request_count: int
    sha256: str

    def line(self) -> str:
        """Return the line to print."""
        return f"{self.seed} {self.request_count} {self.sha256}"


def digest_of_seed(seed: int, seconds: float | None = None) -> SeedDigest:
    """Play the four histories of a seed; each has the length `seconds` if that is given, or the default length."""
    from virtual import DEFAULT_HISTORY_S, QUOTA_ON, play_history

    observer = DigestObserver()
    variants = [(overlapping, features) for overlapping in (False, True) for features in (None, QUOTA_ON)]
    for number, (overlapping, features) in enumerate(variants):
        observer.begin_history(number)
        play_history(
            seed,
            DEFAULT_HISTORY_S if seconds is None else seconds,
            overlapping=overlapping,
            features=features,
            observer=observer,
        )
    return SeedDigest(seed, observer.request_count, observer.hexdigest())


def digests_of_seeds(seeds: Iterable[int], seconds: float | None, process_count: int) -> Iterator[SeedDigest]:
    """Yield the digests in the order of the seeds, computed by the given number of processes."""
    digest = partial(digest_of_seed, seconds=seconds)
    if process_count == 1:
        yield from map(digest, seeds)
        return
    with multiprocessing.Pool(process_count) as pool:
        yield from pool.imap(digest, seeds)


def print_digests(digests: Iterable[SeedDigest]) -> None:
    """Print a line for each seed, and one for all seeds with the total of requests and a digest of the lines before."""
    total_request_count = 0
    total_digest = hashlib.sha256()
    for digest in digests:
        print(digest.line(), flush=True)
        total_request_count += digest.request_count
        total_digest.update(f"{digest.line()}\n".encode())
    print(f"all {total_request_count} {total_digest.hexdigest()}")


def _arguments() -> argparse.Namespace:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("first", type=int, metavar="FIRST", help="the first seed")
    parser.add_argument("last", type=int, metavar="LAST", help="the last seed (inclusive)")
    parser.add_argument("--jobs", type=int, default=1, help="number of parallel processes (default: 1)")
    parser.add_argument("--seconds", type=float, help="virtual length of each history (default: as in the tests)")
    return parser.parse_args()


def main() -> None:
    """Print the digests of the seeds on the command line; restart with the fixed hash seed first where necessary."""
    arguments = _arguments()
    if os.environ.get("PYTHONHASHSEED") != HASH_SEED:
        environment = os.environ | {"PYTHONHASHSEED": HASH_SEED}
        os.execve(sys.executable, [sys.executable, *sys.orig_argv[1:]], environment)
    sys.path[:0] = [str(folder) for folder in SOURCE_FOLDERS]
    seeds = range(arguments.first, arguments.last + 1)
    print_digests(digests_of_seeds(seeds, arguments.seconds, arguments.jobs))


if __name__ == "__main__":
    main()
