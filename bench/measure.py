"""Run the measurements and print each figure as one line of JSON."""

import sys
from collections.abc import Callable, Iterator

from absl import flags

from bench.figures.answers import answers
from bench.figures.cap import cap
from bench.figures.choice import choice
from bench.figures.configuration import configuration
from bench.figures.control_cost import control_cost
from bench.figures.decoding import decoding
from bench.figures.figure import Figure
from bench.figures.forward import forward
from bench.figures.lookup import lookup
from bench.figures.overload import overload
from bench.figures.recovery import recovery
from bench.figures.target_size import target_size
from ebonybend.codec import to_json
from standins.command import parse_flags

Measurement = Callable[[int], Iterator[Figure]]

MEASUREMENTS: dict[str, Measurement] = {
    "answers": answers,
    "cap": cap,
    "choice": choice,
    "config": configuration,
    "control_cost": control_cost,
    "decoding": decoding,
    "forward": forward,
    "lookup": lookup,
    "overload": overload,
    "recovery": recovery,
    "target_size": target_size,
}


def define_flags(values: flags.FlagValues) -> None:
    """Define the flags of the measurements."""
    flags.DEFINE_string(
        "only",
        "",
        f"Measurements to run, separated by commas: {', '.join(MEASUREMENTS)}.",
        flag_values=values,
    )
    flags.DEFINE_integer("seed", 1, "Seed of the random numbers.", flag_values=values)


def selected_measurements(only: str) -> list[str]:
    """Return the measurements to run; raise ValueError for an unknown name."""
    names = [name.strip() for name in only.split(",") if name.strip()]
    for name in names:
        if name not in MEASUREMENTS:
            raise ValueError(
                f"--only={name!r} is not valid: allowed: {', '.join(MEASUREMENTS)}"
            )
    return names or list(MEASUREMENTS)


def main(arguments: list[str]) -> int:
    """Run the chosen measurements."""
    values = parse_flags(define_flags, arguments)
    try:
        names = selected_measurements(values["only"].value)
    except ValueError as error:
        print(error, file=sys.stderr)
        return 2
    for name in names:
        for figure in MEASUREMENTS[name](values["seed"].value):
            sys.stdout.buffer.write(to_json(figure) + b"\n")
            sys.stdout.flush()
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv))
