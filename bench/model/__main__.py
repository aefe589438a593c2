"""Play patterns of load and trouble in simulated time.

python -m bench.model --pattern=burst --policy=node,random --seed=1 prints, for each
policy, the fractions of the requests that were answered on time, late, refused and
failed, by route and region. --plot=FILE draws the fraction on time by second.
"""

import sys

import structlog
from absl import flags

from bench.model.play import Figures, play
from bench.model.policies import POLICIES
from bench.model.world import PATTERNS, SMALL
from standins.command import parse_flags

RESULTS = ("on_time", "late", "refused", "failed")


def define_flags(values: flags.FlagValues) -> None:
    """Define the command-line flags."""
    target = {"flag_values": values}
    flags.DEFINE_list("pattern", ["burst"], f"Of {', '.join(PATTERNS)}.", **target)
    flags.DEFINE_list("policy", ["node"], f"Of {', '.join(POLICIES)}.", **target)
    flags.DEFINE_integer("seed", 1, "Seed.", **target)
    flags.DEFINE_float("seconds", 20.0, "Simulated seconds.", **target)
    flags.DEFINE_string("plot", "", "File for a plot, such as model.svg.", **target)


def row(name: str, figures: Figures, **where: str) -> str:
    """Return one line of a table."""
    fractions = "  ".join(f"{figures.fraction(x, **where):8.3f}" for x in RESULTS)
    return f"{name:28}  {fractions}"


def print_figures(title: str, figures: Figures) -> None:
    """Print the fractions as a whole, by route and by region."""
    header = "  ".join(f"{name:>8}" for name in RESULTS)
    print(f"{title:28}  {header}  warm runs {figures.warm_fraction:.3f}")
    print(row("all", figures))
    for route in sorted({outcome.route for outcome in figures.outcomes}):
        print(row(f"  {route}", figures, route=route))
    for region in SMALL.regions:
        print(row(f"  {region}", figures, region=region))


def plot(path: str, by_title: dict[str, Figures]) -> None:
    """Draw the fraction on time by second."""
    from matplotlib.figure import Figure

    figure = Figure(figsize=(8, 4))
    axes = figure.subplots()
    for title, figures in by_title.items():
        axes.plot(figures.by_second("on_time"), label=title)
    axes.set(xlabel="second", ylabel="answered on time", ylim=(0, 1))
    axes.legend()
    figure.savefig(path)


def main(arguments: list[str]) -> int:
    """Play the named patterns against the named policies."""
    # The decisions of simulated nodes are not logged.
    structlog.configure(logger_factory=structlog.ReturnLoggerFactory())
    values = parse_flags(define_flags, arguments)
    patterns, policies = values["pattern"].value, values["policy"].value
    for known, names in ((PATTERNS, patterns), (POLICIES, policies)):
        for name in names:
            if name not in known:
                raise SystemExit(f"error: {name!r} is none of {', '.join(known)}")
    by_title = {}
    for pattern in patterns:
        for policy in policies:
            title = f"{pattern}, {policy}"
            by_title[title] = play(
                SMALL,
                PATTERNS[pattern],
                policy,
                values["seed"].value,
                values["seconds"].value,
            )
            print_figures(title, by_title[title])
    if values["plot"].value:
        plot(values["plot"].value, by_title)
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv))
