"""The control process: catalogue, membership and the feed."""
