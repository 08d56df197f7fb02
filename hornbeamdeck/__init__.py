"""Request scheduler for heterogeneous engines."""

from typing import Final

__version__: Final = '0.1.0'

__all__ = ('__version__',)
