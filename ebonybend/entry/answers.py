"""Convert served answers and errors to HTTP answers and back."""

from ebonybend.entry.requests import ServedAnswer
from ebonybend.errors import ANSWERS, ErrorKind, Outcome, SteeringError
from ebonybend.http_answers import OutgoingAnswer, Pacer
from ebonybend.http_client import HttpAnswer

ANSWERED = Outcome.ANSWERED.value


def outgoing_answer(
    answer: ServedAnswer, request_id: str, pacer: Pacer | None = None
) -> OutgoingAnswer:
    """Return a backend server's answer as the HTTP answer to pass on."""
    headers = {
        "Ebonybend-Outcome": ANSWERED,
        "Request-Id": request_id,
        "Served-By": answer.served_by,
        "Served-Region": answer.region,
    }
    if answer.content_type is not None:
        headers["Content-Type"] = answer.content_type
    return OutgoingAnswer(answer.status, answer.body, headers, pacer)


def parse_entry_answer(answer: HttpAnswer) -> ServedAnswer:
    """Return the answer in another entry's HTTP answer; raise the error it reports."""
    kind = answer.header("Ebonybend-Error")
    if kind is not None:
        raise _parse_refusal(answer, kind)
    if answer.header("Ebonybend-Outcome") != ANSWERED:
        raise SteeringError(ErrorKind.ANSWER_LOST, "the other entry gave no outcome")
    return ServedAnswer(
        answer.status,
        answer.header("Content-Type"),
        answer.body,
        answer.header("Served-By") or "",
        answer.header("Served-Region") or "",
    )


def _parse_refusal(answer: HttpAnswer, kind_name: str) -> SteeringError:
    try:
        kind = ErrorKind(kind_name)
    except ValueError:
        kind = ErrorKind.OUTCOME_UNKNOWN
    reported_outcome = answer.header("Ebonybend-Outcome")
    if reported_outcome != ANSWERS[kind].outcome.value:
        # An entry of another version may combine this kind with another outcome.
        kind = ErrorKind.OUTCOME_UNKNOWN
    retry_text = answer.header("Retry-After-Ms") or ""
    retry_after_ms = int(retry_text) if retry_text.isdigit() else None
    return SteeringError(kind, f"another entry answered {kind_name}", retry_after_ms)
