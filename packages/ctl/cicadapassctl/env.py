"""What the command line takes from its environment."""

import getpass
import os

SETTINGS_VARIABLE = "CICADAPASSCTL_SETTINGS"
DEFAULT_SETTINGS_FILE = "cicadapassctl.json"


def settings_path() -> str:
    """Return the settings file that is read when no option names one."""
    return os.environ.get(SETTINGS_VARIABLE, DEFAULT_SETTINGS_FILE)


def login_name() -> str:
    """Return the user's login name, or `unknown` where there is none."""
    try:
        return getpass.getuser()
    except (OSError, KeyError):
        return "unknown"
