"""gentianspoke: a layer-4 load balancer and its coordination parts.

The public surface for programs that embed the parts is this module with
the clock and the errors, ``core``, and the packages of ``decisions``; none
of them opens a socket or starts a task. See ``docs/embedding.md``.
"""

from gentianspoke import clock
from gentianspoke import errors

__all__ = ['__version__', 'clock', 'errors']

__version__ = '0.1.0'
