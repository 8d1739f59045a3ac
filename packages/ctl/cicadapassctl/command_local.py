"""Commands that need neither nodes nor the log: settings and credential."""

import argparse
import json

from expression import Ok, Result

from cicadapass_common.config import defaults_document
from cicadapass_common.credentials import hash_credential, new_credential
from cicadapass_common.reference import reference_rows
from cicadapass_decisions.options import schema_of
from cicadapassctl.config import Settings
from cicadapassctl.context import Outcome
from cicadapassctl.exceptions import CommandError
from cicadapassctl.exitcodes import ExitCode


def settings(args: argparse.Namespace) -> Result[Outcome, CommandError]:
    """Print all settings with their defaults, as a template of a settings file."""
    document = defaults_document(Settings)
    lines = tuple(json.dumps(document, indent=2).splitlines())
    if args.explain:
        lines = tuple(
            f"{row.path}: {row.meaning} Allowed: {row.allowed}; default: {row.default}."
            for row in reference_rows(schema_of(Settings))
        )
    return Ok(Outcome(ExitCode.DONE, lines, document))


def credential_new(args: argparse.Namespace) -> Result[Outcome, CommandError]:
    """Create a random credential and the hash to list in the inventory."""
    credential = new_credential()
    sha256 = hash_credential(credential)
    lines = (
        f"credential: {credential}",
        f"sha256: {sha256}",
        "Give the credential to the caller; it is not stored and never shown again.",
        "List the sha256 in the inventory.",
    )
    return Ok(
        Outcome(ExitCode.DONE, lines, {"credential": credential, "sha256": sha256})
    )
