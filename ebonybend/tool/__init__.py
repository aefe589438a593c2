"""The verbs (subcommands) of the command-line tool `ebonybend`."""

from ebonybend.tool.admin_client import AdminClient
from ebonybend.tool.context import Context, VerbResult
from ebonybend.tool.options import Options, parse_options
from ebonybend.tool.verbs import VERBS, Verb

__all__ = [
    "VERBS",
    "AdminClient",
    "Context",
    "Options",
    "Verb",
    "VerbResult",
    "parse_options",
]
