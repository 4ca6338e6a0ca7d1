"""The control process: the catalogue, the membership and the feed."""
