"""A round-robin forwarder, the baseline for the cost of routing decisions."""

from absl import app, flags
from twisted.internet import reactor

from ebonybend.addresses import split_address
from ebonybend.http_answers import OutgoingAnswer
from ebonybend.http_client import HttpClient
from ebonybend.http_server import HttpLimits, HttpSite

_LISTEN = flags.DEFINE_string("listen", None, 'Address "ip:port".', required=True)
_TARGETS = flags.DEFINE_list("targets", None, "Addresses to forward to.", required=True)


class BareForwarder:
    """Forward requests to the targets in round-robin order."""

    def __init__(self, client: HttpClient, targets: list[str]):
        self.client = client
        self.targets = targets
        self.request_count = 0

    async def __call__(self, request) -> OutgoingAnswer:
        """Forward one request."""
        self.request_count += 1
        target = self.targets[self.request_count % len(self.targets)]
        answer = await self.client.request(
            request.method, target, request.path, body=request.body
        )
        return OutgoingAnswer(answer.status, answer.body)


def main(_arguments: list[str]) -> None:
    """Run the forwarder until the process is stopped."""
    host, port = split_address(_LISTEN.value)
    forwarder = BareForwarder(HttpClient(reactor), _TARGETS.value)
    site = HttpSite(reactor, forwarder, HttpLimits())
    reactor.listenTCP(port, site, interface=host)
    reactor.run()


if __name__ == "__main__":
    app.run(main)
