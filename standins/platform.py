"""Stub of the platform's object API, with faults on demand."""

import sys
from typing import Any, Literal

from absl import flags
from attrs import define, field, frozen
from msgspec import DecodeError, json
from twisted.internet.defer import CancelledError, Deferred

from ebonybend.codec import from_json
from ebonybend.errors import ErrorKind, SteeringError
from ebonybend.http_answers import IncomingRequest, OutgoingAnswer, json_answer
from ebonybend.http_router import Router
from standins.command import (
    TrackingSite,
    listen,
    parse_flags,
    reset_connection,
    run,
    sleep,
)
from standins.object_store import KINDS, ObjectList, ObjectStore, VersionConflict

OBJECTS_PATH = "/v1/objects/"
WATCH_PATH = "/v1/watch/"
MAX_VALUE_BYTES = 1 << 20
DEFAULT_WATCH_MS = 10_000
MAX_WATCH_MS = 60_000


@frozen
class PlatformFaults:
    """The faults to inject; a POST to /faults replaces them all."""

    # "refuse" closes the port and all connections; "hang" delays answers until the
    # fault ends.
    down: Literal["no", "refuse", "hang"] = "no"
    # Delay of every answer.
    delay_ms: float = 0.0
    # Number of further writes that apply but get a connection reset, not an answer.
    lose_answers: int = 0
    # Time for which changes of the instance and server lists stay invisible.
    list_lag_s: float = 0.0


@define
class CallCounts:
    """Counts of received calls; a watch counts as one read."""

    reads: int = 0
    writes: int = 0
    watches: int = 0
    peak_reads_per_second: int = 0
    peak_writes_per_second: int = 0
    seconds: dict[int, list[int]] = field(factory=dict)

    def record_call(self, second: int, is_write: bool) -> None:
        """Count one call in a whole second of the clock."""
        calls = self.seconds.setdefault(second, [0, 0])
        if is_write:
            self.writes += 1
            calls[1] += 1
            self.peak_writes_per_second = max(self.peak_writes_per_second, calls[1])
        else:
            self.reads += 1
            calls[0] += 1
            self.peak_reads_per_second = max(self.peak_reads_per_second, calls[0])


class PlatformStub:
    """The object API, with the faults to inject."""

    def __init__(self, reactor: Any, address: str):
        self.reactor = reactor
        self.address = address
        self.store = ObjectStore(reactor)
        self.faults = PlatformFaults()
        # Number of answers that are still to be lost.
        self.lose_answers = 0
        self.counts = CallCounts()
        self.hanging_calls: list[Deferred[None]] = []
        self.site = TrackingSite(reactor, self.handle)
        self.port: Any = None

    async def handle(self, request: IncomingRequest) -> OutgoingAnswer:
        """Count and answer one call, subject to the faults."""
        is_write = request.method in ("PUT", "DELETE")
        self.counts.record_call(int(self.reactor.seconds()), is_write)
        if self.faults.down == "hang":
            self.hanging_calls.append(Deferred())
            await self.hanging_calls[-1]
        if self.faults.delay_ms > 0:
            await sleep(self.reactor, self.faults.delay_ms / 1000)
        answer = await self.answer(request)
        if is_write and self.lose_answers > 0:
            self.lose_answers -= 1
            reset_connection(request.raw.channel)
        return answer

    async def answer(self, request: IncomingRequest) -> OutgoingAnswer:
        """Answer one call without faults and without counting it."""
        if request.path.startswith(WATCH_PATH):
            return await self._watch(request)
        if not request.path.startswith(OBJECTS_PATH):
            raise SteeringError(ErrorKind.UNKNOWN_PATH, request.path)
        kind, _, name = request.path.removeprefix(OBJECTS_PATH).partition("/")
        check_kind(kind)
        if not name and request.method == "GET":
            return list_answer(self.store.list(kind))
        if not name:
            raise SteeringError(ErrorKind.METHOD_NOT_ALLOWED, "a list is read-only")
        if request.method == "GET":
            return self._get(kind, name)
        return self._write(kind, name, request)

    def _get(self, kind: str, name: str) -> OutgoingAnswer:
        found = self.store.get(kind, name)
        return json_answer(found, 200 if found.version else 404)

    def _write(self, kind: str, name: str, request: IncomingRequest) -> OutgoingAnswer:
        expected = expected_version(request)
        try:
            if request.method == "PUT":
                check_value(request.body)
                written = self.store.put(kind, name, request.body, expected)
            elif request.method == "DELETE":
                written = self.store.delete(kind, name, expected)
            else:
                raise SteeringError(ErrorKind.METHOD_NOT_ALLOWED, request.method)
        except VersionConflict as conflict:
            return json_answer(conflict.current, 412)
        return json_answer(written)

    async def _watch(self, request: IncomingRequest) -> OutgoingAnswer:
        kind = request.path.removeprefix(WATCH_PATH)
        check_kind(kind)
        self.counts.watches += 1
        since = int(request.argument("since") or "0")
        timeout_ms = int(request.argument("timeout_ms") or DEFAULT_WATCH_MS)
        deadline = self.reactor.seconds() + min(timeout_ms, MAX_WATCH_MS) / 1000
        while not self.store.changes(kind, since).items:
            remaining_s = deadline - self.reactor.seconds()
            if remaining_s <= 0:
                break
            await self._wait_for_change(kind, remaining_s, request)
            if getattr(request.raw, "client_disconnected", False):
                break
        return list_answer(self.store.changes(kind, since))

    async def _wait_for_change(
        self, kind: str, seconds: float, request: IncomingRequest
    ) -> None:
        changed = self.store.next_change(kind)
        timer = self.reactor.callLater(seconds, changed.cancel)
        request.raw.notifyFinish().addErrback(lambda _: changed.cancel())
        try:
            await changed
        except CancelledError:
            return
        finally:
            if timer.active():
                timer.cancel()

    def set_faults(self, faults: PlatformFaults) -> None:
        """Replace all faults; resume hanging calls unless the new faults hang them."""
        self.faults = faults
        self.lose_answers = faults.lose_answers
        self.store.set_lag(faults.list_lag_s)
        if faults.down == "refuse":
            self._close()
        else:
            self.open()
        if faults.down != "hang":
            hanging_calls, self.hanging_calls = self.hanging_calls, []
            for pending in hanging_calls:
                pending.callback(None)

    def open(self) -> None:
        """Open the port for clients, unless it is open."""
        if self.port is None:
            self.port = listen(self.reactor, self.address, self.site)

    def _close(self) -> None:
        if self.port is not None:
            self.port.stopListening()
            self.port = None
        self.site.reset_all()


def list_answer(found: ObjectList) -> OutgoingAnswer:
    """Return an answer that contains a list of objects."""
    return json_answer(found)


def check_kind(kind: str) -> None:
    """Raise UNKNOWN_PATH if the platform has no such kind."""
    if kind not in KINDS:
        raise SteeringError(ErrorKind.UNKNOWN_PATH, f"no such kind: {kind}")


def check_value(value: bytes) -> None:
    """Raise SteeringError unless the value is JSON of at most 1 MB."""
    if len(value) > MAX_VALUE_BYTES:
        raise SteeringError(ErrorKind.BODY_TOO_LARGE, f"{len(value)} bytes")
    try:
        json.decode(value)
    except DecodeError as error:
        raise SteeringError(ErrorKind.BAD_REQUEST, str(error)) from error


def expected_version(request: IncomingRequest) -> int | None:
    """Return the version in If-Match, or None for an unconditional write."""
    text = request.header("If-Match")
    if text is None:
        return None
    try:
        return int(text.strip('"'))
    except ValueError as error:
        raise SteeringError(ErrorKind.BAD_REQUEST, f"If-Match: {text}") from error


def admin_router(platform: PlatformStub) -> Router:
    """Return the router of the admin port."""

    async def post_faults(request: IncomingRequest) -> OutgoingAnswer:
        platform.set_faults(from_json(request.body, PlatformFaults))
        return json_answer(platform.faults)

    async def get_counts(_request: IncomingRequest) -> OutgoingAnswer:
        return json_answer(platform.counts)

    router = Router()
    router.add("POST", "/faults", post_faults)
    router.add("GET", "/counts", get_counts)
    # Updates of the lists by the platform itself bypass the faults.
    router.add("*", "/v1/", platform.answer)
    return router


def define_flags(values: flags.FlagValues) -> None:
    """Define the command-line flags."""
    flags.DEFINE_string("listen", "127.0.0.1:7000", "Object API.", flag_values=values)
    flags.DEFINE_string("faults", "127.0.0.1:7001", "Admin port.", flag_values=values)


def main(arguments: list[str]) -> None:
    """Run the platform stub until the process is stopped."""
    from twisted.internet import reactor

    values = parse_flags(define_flags, arguments)

    async def start() -> None:
        platform = PlatformStub(reactor, values["listen"].value)
        platform.open()
        site = TrackingSite(reactor, admin_router(platform))
        listen(reactor, values["faults"].value, site)

    run(reactor, start)


if __name__ == "__main__":
    main(sys.argv)
