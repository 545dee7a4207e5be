"""A query tier between callers and many shards."""

from typing import Final

__version__: Final = "0.1.0"
