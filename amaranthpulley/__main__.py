"""Runs the command ``amaranthpulley`` for ``python -m amaranthpulley``."""

import sys

from amaranthpulley import cli

if __name__ == "__main__":
    sys.exit(cli.main())
