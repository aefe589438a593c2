"""Find the log lines that explain what happened to one request."""

from collections.abc import Iterable, Mapping
from datetime import datetime
from typing import Any

from attrs import frozen
from msgspec import DecodeError, json

# Events that tell what a node believed of a server.
SERVER_EVENTS = frozenset({"server_left_out", "server_listed", "server_gone"})
# Events of the node that answered, of which the last one before the answer counts.
STATE_EVENTS = frozenset(
    {
        "config_in_force",
        "evacuations",
        "watch_failed",
        "watch_returned",
        "relays_followed",
        "store_watched",
        "stop_begins",
    }
)
# Time around an answer in which events of its server are shown.
SERVER_EVENTS_S = 10.0


@frozen
class LogEvent:
    """One line of a log."""

    at: datetime
    instance: str
    event: str
    # All fields of the line.
    fields: Mapping[str, Any]


@frozen
class Story:
    """The attempts of one request, and the events that explain them, by time."""

    request_id: str
    attempts: tuple[LogEvent, ...]
    context: tuple[LogEvent, ...]


def parse_event(line: str) -> LogEvent | None:
    """Return the event of a log line; None for other output.

    Text before the JSON object, such as a collector's prefix, is ignored.
    """
    start = line.find("{")
    if start < 0:
        return None
    try:
        fields = json.decode(line[start:])
        at = datetime.fromisoformat(fields["timestamp"])
        return LogEvent(at, fields["instance"], fields["event"], fields)
    except (DecodeError, KeyError, TypeError, ValueError):
        return None


def find_story(lines: Iterable[str], request_id: str) -> Story:
    """Return the story of a request from the logs of any number of nodes."""
    events = [event for line in lines if (event := parse_event(line)) is not None]
    events.sort(key=lambda event: event.at)
    attempts = tuple(e for e in events if e.fields.get("request_id") == request_id)
    context = {
        id(event): event
        for attempt in attempts
        for event in (*_state_of(attempt, events), *_server_events(attempt, events))
    }
    ordered = sorted(context.values(), key=lambda event: event.at)
    return Story(request_id, attempts, tuple(ordered))


def _state_of(attempt: LogEvent, events: list[LogEvent]) -> list[LogEvent]:
    """Return the last event of each kind on the attempt's node before its end."""
    found: dict[tuple[str, str], LogEvent] = {}
    service = attempt.fields.get("service")
    for event in events:
        if event.instance != attempt.instance or event.at > attempt.at:
            continue
        if event.event in STATE_EVENTS:
            found[event.event, str(event.fields.get("kind", ""))] = event
        elif event.event == "region_shares" and event.fields.get("service") == service:
            found["region_shares", ""] = event
    return list(found.values())


def _server_events(attempt: LogEvent, events: list[LogEvent]) -> list[LogEvent]:
    """Return what the attempt's node logged of its server around that time."""
    server = attempt.fields.get("server")
    if not server:
        return []
    return [
        event
        for event in events
        if event.event in SERVER_EVENTS
        and event.instance == attempt.instance
        and event.fields.get("server") == server
        and abs((event.at - attempt.at).total_seconds()) <= SERVER_EVENTS_S
    ]
