"""Makes ``python -m amaranthpulley`` the same as the command ``amaranthpulley``."""

import sys

from amaranthpulley import cli

if __name__ == "__main__":
    sys.exit(cli.main())
