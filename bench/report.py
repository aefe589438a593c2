"""Plot the measured figures relative to their baselines or targets."""

import sys
from pathlib import Path

import matplotlib as mpl
from absl import flags
from matplotlib.figure import Figure as Drawing

from bench.figures.figure import Figure
from ebonybend.codec import from_json
from standins.command import parse_flags

ROW_INCHES = 0.3


def read_figures(path: Path) -> list[Figure]:
    """Read the output of the measurements; the last figure with a name is used."""
    lines = path.read_bytes().splitlines()
    figures = [from_json(line, Figure) for line in lines if line.startswith(b"{")]
    return list({figure.name: figure for figure in figures}.values())


def draw(figures: list[Figure], path: Path) -> None:
    """Plot the ratios as bars; 1 is the baseline or the target."""
    with_ratio = [figure for figure in figures if figure.ratio is not None]
    mpl.rcParams["svg.hashsalt"] = "ebonybend"
    drawing = Drawing(
        figsize=(9, 1 + ROW_INCHES * len(with_ratio)), layout="constrained"
    )
    axes = drawing.subplots()
    names = [f"{x.name}: {x.value:.3g} {x.unit}" for x in with_ratio]
    axes.barh(names, [x.ratio for x in with_ratio])
    axes.axvline(1.0, color="black", linewidth=1)
    axes.invert_yaxis()
    axes.set_xlabel("value over baseline or target")
    drawing.savefig(path)


def define_flags(values: flags.FlagValues) -> None:
    """Define the flags of the report."""
    flags.DEFINE_string(
        "figures",
        "run/figures.jsonl",
        "Output of the measurements.",
        flag_values=values,
    )
    flags.DEFINE_string(
        "output", "run/report.svg", "Picture to write, SVG or PNG.", flag_values=values
    )


def main(arguments: list[str]) -> int:
    """Write the report."""
    values = parse_flags(define_flags, arguments)
    source = Path(values["figures"].value)
    if not source.exists():
        print(f"--figures={str(source)!r} doesn't exist: run make bench first")
        return 2
    draw(read_figures(source), Path(values["output"].value))
    print(f"wrote {values['output'].value}")
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv))
