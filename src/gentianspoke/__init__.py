"""gentianspoke: a layer-4 load balancer and its coordination parts.

The public surface for programs that embed the parts is this module:
the clock, the errors, and the decision packages, none of which opens a
socket or starts a task.
"""

from gentianspoke import clock
from gentianspoke import errors

__all__ = ['__version__', 'clock', 'errors']

__version__ = '0.1.0'
