"""Run the command line as `python -m cicadapassctl`."""

import sys

from cicadapassctl.cmdline import main

sys.exit(main())
