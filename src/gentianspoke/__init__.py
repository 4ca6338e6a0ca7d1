"""A layer-4 load balancer with membership and a replicated catalogue.

The public interface for programs that embed its parts consists of this
module, with ``clock`` and ``errors``, and of the packages ``core`` and
``decisions``. None of them opens a socket or starts a task. See
``docs/embedding.md``.
"""

from gentianspoke import clock
from gentianspoke import errors

__all__ = ['__version__', 'clock', 'errors']

__version__ = '0.1.0'
