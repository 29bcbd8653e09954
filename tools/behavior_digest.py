"""Digests of all that controllers send in generated histories, to compare the behaviour of two versions.

    python3 tools/behavior_digest.py FIRST LAST [--jobs N] [--seconds S]

Each seed is played four times: with single and with overlapping faults, each with the quota part off and on. Printed
are one line for each seed (seed, calls that controllers sent, SHA-256 over these calls and over all answers that
controllers gave), and one for all seeds. Only times and what is on the wire is hashed: two versions that differ in
names alone print the same.
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
#: Where the sources, the generated histories and the libraries are; the latter may also come from the environment.
SOURCE_FOLDERS = [ROOT / "src", ROOT / "tests", ROOT / "target" / "ci"]
MICROSECOND = timedelta(microseconds=1)
#: The hash seed of all runs, as the order in sets of strings depends on it.
HASH_SEED = "0"


class DigestObserver:
    """Hashes what controllers send, as the virtual world shows it."""

    def __init__(self) -> None:
        self.calls = 0
        self._hash = hashlib.sha256()

    def called(
        self,
        now: timedelta,
        sender: str,
        address: str,
        method: str,
        target: str,
        kind: str,
        body: bytes,
        timeout: timedelta,
    ) -> None:
        """Add a call to another host; `kind` is the content type of its body."""
        self.calls += 1
        self._add("call", now, sender, address, method, target, kind, body, timeout)

    def answered(self, now: timedelta, sender: str, status: int, body: bytes, headers: dict[str, str]) -> None:
        """Add an answer to a user, an agent or a peer."""
        self._add("answer", now, sender, status, body, len(headers))
        for name, value in headers.items():
            self._add(name, value)

    def begin_history(self, number: int) -> None:
        """Separate the events of one history from those of the one before."""
        self._add("history", number)

    def hexdigest(self) -> str:
        """Return the digest of everything added so far."""
        return self._hash.hexdigest()

    def _add(self, *values: str | bytes | int | timedelta) -> None:
        for value in values:
            kind, raw = _encode(value)
            self._hash.update(b"%s%d:" % (kind, len(raw)))
            self._hash.update(raw)


def _encode(value: str | bytes | int | timedelta) -> tuple[bytes, bytes]:
    """Return a letter for the type, and the bytes of the value; anything but plain values is refused."""
    if isinstance(value, bytes):
        return b"b", value
    if isinstance(value, timedelta):
        return b"t", str(value // MICROSECOND).encode()
    if type(value) is int or isinstance(value, HTTPStatus):
        return b"i", str(int(value)).encode()
    if type(value) is str:
        return b"s", value.encode()
    raise TypeError(f"not on the wire: {type(value)}")


@dataclass(frozen=True)
class SeedDigest:
    """The result of the four histories of one seed."""

    seed: int
    calls: int
    sha256: str

    def line(self) -> str:
        """Return what is printed of it."""
        return f"{self.seed} {self.calls} {self.sha256}"


def digest_of_seed(seed: int, seconds: float | None = None) -> SeedDigest:
    """Play the four histories of a seed, each as long as `play` does by default unless `seconds` is given."""
    from virtual import QUOTA_ON, SECONDS, play

    observer = DigestObserver()
    variants = [(overlapping, parts) for overlapping in (False, True) for parts in (None, QUOTA_ON)]
    for number, (overlapping, parts) in enumerate(variants):
        observer.begin_history(number)
        play(seed, SECONDS if seconds is None else seconds, overlapping=overlapping, parts=parts, observer=observer)
    return SeedDigest(seed, observer.calls, observer.hexdigest())


def digests_of_seeds(seeds: Iterable[int], seconds: float | None, jobs: int) -> Iterator[SeedDigest]:
    """Yield the digests in the order of the seeds, from so many processes."""
    digest = partial(digest_of_seed, seconds=seconds)
    if jobs == 1:
        yield from map(digest, seeds)
        return
    with multiprocessing.Pool(jobs) as pool:
        yield from pool.imap(digest, seeds)


def print_digests(digests: Iterable[SeedDigest]) -> None:
    """Print a line for each seed, and the one for the whole range: its calls, and a digest of the lines before."""
    calls = 0
    whole = hashlib.sha256()
    for digest in digests:
        print(digest.line(), flush=True)
        calls += digest.calls
        whole.update(f"{digest.line()}\n".encode())
    print(f"all {calls} {whole.hexdigest()}")


def _arguments() -> argparse.Namespace:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("first", type=int, metavar="FIRST", help="the first seed")
    parser.add_argument("last", type=int, metavar="LAST", help="the last seed, included")
    parser.add_argument("--jobs", type=int, default=1, help="how many processes play (default: 1)")
    parser.add_argument("--seconds", type=float, help="virtual length of a history (default: that of the tests)")
    return parser.parse_args()


def main() -> None:
    """Play the seeds of the command line, in a process with the fixed hash seed."""
    arguments = _arguments()
    if os.environ.get("PYTHONHASHSEED") != HASH_SEED:
        environment = os.environ | {"PYTHONHASHSEED": HASH_SEED}
        os.execve(sys.executable, [sys.executable, *sys.orig_argv[1:]], environment)
    sys.path[:0] = [str(folder) for folder in SOURCE_FOLDERS]
    seeds = range(arguments.first, arguments.last + 1)
    print_digests(digests_of_seeds(seeds, arguments.seconds, arguments.jobs))


if __name__ == "__main__":
    main()
