"""Environment of the command line: variables and the user."""

import getpass
import os

SETTINGS_VARIABLE = "CICADAPASSCTL_SETTINGS"
DEFAULT_SETTINGS_FILE = "cicadapassctl.json"


def settings_path() -> str:
    """Return the path of the settings file to use without `--settings`."""
    return os.environ.get(SETTINGS_VARIABLE, DEFAULT_SETTINGS_FILE)


def login_name() -> str:
    """Return the user's login name, or `unknown` if there is none."""
    try:
        return getpass.getuser()
    except (OSError, KeyError):
        return "unknown"
