"""Run the node by `python -m cicadapass`."""

import sys

from cicadapass.cmdline import main

sys.exit(main())
