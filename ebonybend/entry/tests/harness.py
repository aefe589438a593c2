"""A data plane with a fake HTTP client and a clock that tests move."""

from collections.abc import Callable
from random import Random
from typing import Any

from attrs import define, field, frozen
from twisted.internet.defer import Deferred, succeed
from twisted.internet.task import Clock as FakeReactor
from twisted.web.http_headers import Headers

from ebonybend.codec import pack
from ebonybend.entry.data_plane import DataPlane
from ebonybend.entry.hops import HOP_PREFIX, OWNER_PREFIX
from ebonybend.entry.messages import OutcomesTaken
from ebonybend.entry.replication import OUTCOMES_PATH
from ebonybend.entry.requests import SteeredRequest
from ebonybend.http_client import HttpAnswer, SendTooLate
from ebonybend.settings import Settings, parse_settings
from ebonybend.steering.table import (
    DomainView,
    InstanceView,
    ServerView,
    ServiceLoad,
    Table,
    TableReply,
)
from ebonybend.world import (
    Contract,
    Deployment,
    FailureDomain,
    LifeState,
    Link,
    Region,
    ServerState,
    Service,
)

OWN = "k1a"
INCARNATION = 7
SLOTS = 4
SERVICE = "certificates"


class ReactorClock:
    """The fake reactor's time."""

    def __init__(self, reactor: FakeReactor):
        self.reactor = reactor

    def monotonic(self) -> float:
        return self.reactor.seconds()


def settings() -> Settings:
    return parse_settings(
        ["ebonybendd", "--role=entry", f"--instance={OWN}", "--failure_domain=k1"], {}
    )


@frozen
class Call:
    """A request that reached the fake HTTP client."""

    method: str
    address: str
    path: str
    headers: dict[str, str]

    @property
    def to_backend(self) -> bool:
        return not self.path.startswith("/peer/")

    @property
    def to_hop(self) -> bool:
        return self.path.startswith(HOP_PREFIX)

    @property
    def to_owner(self) -> bool:
        return self.path.startswith(OWNER_PREFIX)


def backend_answer(status: int = 200, **headers: str) -> HttpAnswer:
    raw = {name.replace("_", "-"): [value] for name, value in headers.items()}
    return HttpAnswer(status, Headers({"Content-Type": ["text/x"], **raw}), b"body")


def entry_answer(status: int, outcome: str | None, error: str | None) -> HttpAnswer:
    raw = {"Served-By": ["far-server"]}
    if outcome:
        raw["Ebonybend-Outcome"] = [outcome]
    if error:
        raw["Ebonybend-Error"] = [error]
    return HttpAnswer(status, Headers(raw), b"far body")


class FakeHttp:
    """Answer each request by a function of the call."""

    def __init__(self):
        self.calls: list[Call] = []
        self.timeouts: list[float] = []
        self.respond: Callable[[Call], Any] = lambda call: backend_answer()

    async def request(
        self,
        method,
        address,
        path,
        headers=None,
        body=b"",
        timeout=5.0,
        max_body=0,
        reuse=None,
        may_send=None,
    ):
        call = Call(method, address, path, dict(headers or {}))
        if path == OUTCOMES_PATH:
            return HttpAnswer(200, Headers(), pack(OutcomesTaken(False)))
        self.calls.append(call)
        self.timeouts.append(timeout)
        if may_send is not None and not may_send():
            raise SendTooLate("too late")
        result = self.respond(call)
        if isinstance(result, Deferred):
            result = await result
        if isinstance(result, Exception):
            raise result
        return result

    def sent(self, kind: str) -> list[Call]:
        return [call for call in self.calls if getattr(call, kind)]


def deployment() -> Deployment:
    return Deployment(
        regions=(Region("kingston"), Region("montego")),
        failure_domains=(
            FailureDomain("k1", "kingston", (OWN,)),
            FailureDomain("m1", "montego", ("m1a", "m1b")),
        ),
        links=(
            Link("kingston", "montego", 1e6, 55.0),
            Link("montego", "kingston", 1e6, 55.0),
        ),
        services=(Service(SERVICE, "blue"),),
        contracts=(Contract("blue", 0.8, 0.2),),
    )


def table(serial: int = 1, servers: int = 3, rules_text: str = "") -> Table:
    instances = tuple(
        InstanceView(
            name=name,
            incarnation=INCARNATION,
            failure_domain=domain,
            public_address=f"{name}:1",
            peer_address=f"{name}:2",
            control_address=f"{name}:3",
            state=LifeState.LIVE,
            ready=True,
            key_epoch=0,
            rules_revision=1,
        )
        for name, domain in ((OWN, "k1"), ("m1a", "m1"), ("m1b", "m1"))
    )
    load = ServiceLoad(SERVICE, 12, 0, 5.0)
    return Table(
        serial=serial,
        control_incarnation=1,
        rules_revision=1,
        rules_text=rules_text,
        deployment=deployment(),
        failure_domain="k1",
        servers=tuple(
            ServerView(f"s{i}", SERVICE, f"s{i}:80", SLOTS, 300, ServerState.READY)
            for i in range(servers)
        ),
        instances=instances,
        domains=(
            DomainView("k1", "kingston", (load,), 0.0),
            DomainView("m1", "montego", (load,), 0.0),
        ),
    )


@define
class Harness:
    """A data plane that owns all slots of its servers."""

    reactor: FakeReactor = field(factory=FakeReactor)
    http: FakeHttp = field(factory=FakeHttp)
    notices: list[int] = field(factory=list)
    plane: DataPlane = field(init=False)

    def __attrs_post_init__(self):
        self.plane = DataPlane(
            self.reactor,
            settings(),
            ReactorClock(self.reactor),
            self.http,
            INCARNATION,
            Random(1),
            self._push_notice,
        )

    def _push_notice(self) -> Deferred[bool]:
        self.notices.append(1)
        return succeed(True)

    def ready(self, **change: Any) -> "Harness":
        """Give the plane a table and let its slots settle."""
        self.reactor.advance(100.0)
        first = table(**change)
        self.plane.table_state.accept(TableReply(first))
        ledger = self.plane.ledger
        ledger.set_roster((OWN,))
        ledger.set_servers({view.name: view.slots for view in first.servers})
        for _ in range(50):
            self.reactor.advance(0.25)
            ledger.tick()
        # The views were aged by the waiting.
        self.plane.table_state.accept(TableReply(table(serial=2, **change)))
        return self

    def request(self, method: str = "GET", deadline_s: float = 2.0, **change: Any):
        key = None if method != "POST" else change.pop("key", f"{OWN}~7~1~x")
        return SteeredRequest(
            service=SERVICE,
            method=method,
            path="/lookup?id=1",
            body=change.pop("body", b""),
            content_type=None,
            deadline=self.reactor.seconds() + deadline_s,
            request_id="r1",
            key=key,
        )

    def steer(self, request: SteeredRequest) -> Deferred[Any]:
        """Steer a caller's request."""
        return Deferred.fromCoroutine(self.plane.steering.from_client(request, None))

    def in_flight(self) -> int:
        return sum(self.plane.ledger.in_flight(f"s{i}") for i in range(20))
