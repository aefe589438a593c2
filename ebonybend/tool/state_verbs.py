"""The verbs that show state: status, history, where."""

from collections.abc import Sequence
from datetime import UTC, datetime

from ebonybend.control.admin_messages import StatusAnswer, WhereAnswer
from ebonybend.tool.confirm import classify_instances, confirmation_lines
from ebonybend.tool.context import EXIT_DONE, EXIT_REFUSED, Context, VerbResult
from ebonybend.tool.options import usage_error


def status(context: Context) -> VerbResult:
    """Show the revision in force, instances, backend servers, shifts, suspects."""
    answer = context.client.get_status()
    confirmation = classify_instances(answer, answer.revision)
    lines = [
        *confirmation_lines(confirmation),
        f"platform: {'reachable' if answer.platform_reachable else 'NOT REACHABLE'}",
        *_instance_lines(answer),
        *_server_lines(answer),
        *_shift_lines(answer),
        *_suspect_lines(answer),
    ]
    return VerbResult(
        EXIT_DONE if confirmation.in_force_everywhere else EXIT_REFUSED,
        tuple(lines),
        answer,
    )


def history(context: Context) -> VerbResult:
    """Show recorded changes and events, newest first."""
    answer = context.client.get_history(context.options.limit)
    rows = [
        (
            _format_time(entry.at),
            f"r{entry.revision}" if entry.revision else "-",
            entry.event,
            entry.author,
            entry.reason,
            entry.detail,
        )
        for entry in answer.entries
    ]
    headings = ("TIME (UTC)", "REVISION", "EVENT", "AUTHOR", "REASON", "DETAIL")
    return VerbResult(EXIT_DONE, tuple(format_table(headings, rows)), answer)


def where(context: Context) -> VerbResult:
    """Explain how a lookup or a request is routed."""
    options = context.options
    if options.client is None and options.service is None:
        raise usage_error("where needs --client=IP, --service=NAME or both")
    answer = context.client.get_where(
        client=options.client, service=options.service, method=options.method
    )
    return VerbResult(EXIT_DONE, tuple(_where_lines(answer)), answer)


def format_table(headings: Sequence[str], rows: Sequence[Sequence[str]]) -> list[str]:
    """Return rows in aligned columns below their headings."""
    all_rows = [tuple(headings), *(tuple(row) for row in rows)]
    widths = [
        max(len(row[column]) for row in all_rows) for column in range(len(headings))
    ]
    return [
        "  ".join(
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        ).rstrip()
        for row in all_rows
    ]


def _format_time(seconds: float) -> str:
    return datetime.fromtimestamp(seconds, UTC).strftime("%Y-%m-%d %H:%M:%S")


def _format_age(age_ms: float) -> str:
    return "never" if age_ms < 0 else f"{age_ms / 1000:.1f} s"


def _instance_lines(answer: StatusAnswer) -> list[str]:
    rows = [
        (
            i.name,
            i.failure_domain,
            i.state,
            str(i.rules_revision),
            _format_age(i.age_ms),
            "yes" if i.reachable else "NO",
        )
        for i in answer.instances
    ]
    headings = ("INSTANCE", "FAILURE DOMAIN", "STATE", "REVISION", "HEARD", "REACHABLE")
    return ["", *format_table(headings, rows)]


def _server_lines(answer: StatusAnswer) -> list[str]:
    rows = [
        (s.name, s.service, s.failure_domain, s.state, str(s.in_flight), str(s.limit))
        for s in answer.servers
    ]
    headings = ("BACKEND SERVER", "SERVICE", "FAILURE DOMAIN", "STATE", "IN FLIGHT")
    return ["", *format_table((*headings, "LIMIT"), rows)] if rows else []


def _shift_lines(answer: StatusAnswer) -> list[str]:
    rows = [
        (f"{s.cap_per_second}/s", f"{s.sent_last_second}/s", s.rule)
        for s in answer.shifts
    ]
    return ["", *format_table(("CAP", "SENT", "SHIFT OR CAP"), rows)] if rows else []


def _suspect_lines(answer: StatusAnswer) -> list[str]:
    rows = [
        (
            s.fingerprint,
            str(s.crashes),
            "yes" if s.refused else "no",
            _format_age(s.age_ms),
        )
        for s in answer.suspects
    ]
    headings = ("SUSPECT", "CRASHES", "REFUSED", "LAST CRASH")
    return ["", *format_table(headings, rows)] if rows else []


def _where_lines(answer: WhereAnswer) -> list[str]:
    lines = []
    if answer.client is not None:
        lines.append(f"client {answer.client}: site {answer.site or 'not known'}")
        lines.append(f"look-up lists: {', '.join(answer.instances) or 'nothing'}")
    if answer.service is not None:
        lines.append(f"service {answer.service}")
    lines += [f"rule: {rule}" for rule in answer.rules]
    for title, choices in (
        ("FAILURE DOMAIN", answer.domains),
        ("BACKEND SERVER", answer.servers),
    ):
        rows = [(c.name, f"{c.score:.3f}", c.why) for c in choices]
        lines += ["", *format_table((title, "SCORE", "WHY"), rows)] if rows else []
    return [*lines, *answer.explanation]
