"""The verb that reads logs: trace."""

from collections.abc import Iterable

from ebonybend.tool.context import EXIT_DONE, EXIT_REFUSED, Context, VerbResult
from ebonybend.tool.log_story import LogEvent, find_story
from ebonybend.tool.options import usage_error

# Fields that are shown elsewhere in a line, or that are the same in all lines.
_PLAIN_FIELDS = frozenset({"timestamp", "instance", "event", "level", "request_id"})


def trace(context: Context) -> VerbResult:
    """Show what nodes logged about one request, and what explains it."""
    request_id = context.options.request
    if not request_id:
        raise usage_error("trace needs --request=ID")
    lines = context.read_file(context.operand).splitlines()
    story = find_story(lines, request_id)
    if not story.attempts:
        message = f"no line about request {request_id}; it may have been dropped"
        return VerbResult(EXIT_REFUSED, (message,), story)
    return VerbResult(
        EXIT_DONE,
        (
            f"request {request_id}:",
            *_event_lines(story.attempts),
            "what its nodes believed:",
            *_event_lines(story.context),
        ),
        story,
    )


def _event_lines(events: Iterable[LogEvent]) -> list[str]:
    return [
        f"  {event.at:%H:%M:%S.%f} {event.instance} {event.event} {_field_text(event)}"
        for event in events
    ]


def _field_text(event: LogEvent) -> str:
    return " ".join(
        f"{name}={value}"
        for name, value in event.fields.items()
        if name not in _PLAIN_FIELDS
    )
