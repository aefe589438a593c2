"""JSON that other writers of the store may leave in an entry."""


def odd_texts(size: int) -> tuple[str, ...]:
    """Return JSON texts of about a number of bytes that no reader expects."""
    return (
        "[" * (size // 2) + "]" * (size // 2),
        '{"a":' * (size // 6) + "1" + "}" * (size // 6),
        '["\\ud800"' + ',""' * (size // 3) + "]",
        '["\\ud800"' + ",[]" * (size // 3) + "]",
        '"' + "\\n" * (size // 2) + '"',
        "1" * size,
    )
