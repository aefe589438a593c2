"""Computations in steps, between which the event loop can do other work."""

from collections.abc import Awaitable, Callable, Generator
from typing import TypeVar

T = TypeVar("T")
# A computation that yields after each step of bounded cost and returns its result.
Steps = Generator[None, None, T]
# Waits until the event loop has done its other work.
Pause = Callable[[], Awaitable[None]]


def complete(steps: Steps[T]) -> T:
    """Run all steps at once and return the result."""
    while True:
        try:
            next(steps)
        except StopIteration as end:
            return end.value


async def complete_with_pauses(steps: Steps[T], pause: Pause) -> T:
    """Run the steps with a pause after each and return the result."""
    while True:
        try:
            next(steps)
        except StopIteration as end:
            return end.value
        await pause()


async def no_pause() -> None:
    """Go on at once, where no other work waits."""
