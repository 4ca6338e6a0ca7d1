"""A catalogue log without replicas."""

from gentianspoke.decisions.control import catalogue


class LocalLog:
    """A catalogue without replicas: every request is accepted at once."""

    def __init__(self) -> None:
        """Begin with an empty catalogue."""
        self.catalogue = catalogue.Catalogue()

    async def submit(self, request: catalogue.Request) -> catalogue.Answer:
        """Apply a request and return its answer."""
        return self.catalogue.apply(request)

    def confirmed_age_ms(self) -> int:
        """Return how long ago a majority confirmed this instance."""
        return 0
