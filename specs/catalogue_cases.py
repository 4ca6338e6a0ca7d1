"""The bounds and mistakes for checks of the catalogue log."""

from specs import catalogue_log
from specs import checking

Bounds = catalogue_log.Bounds
Mistake = catalogue_log.Mistake

MAX_STATES = 5_000_000
# A member is replaced, and another one loses its disk.
REPLACEMENT = Bounds(
    spares=1,
    losses=1,
    stops=1,
    crashes=0,
    records=4,
    sends_a=0,
    sends_b=0,
    terms=1,
    tolerate=1,
)
# Searches that visit all states within seconds; CI runs these.
SMALL_BOUNDS = {
    'one edit': Bounds(records=2, sends_a=1, sends_b=0, crashes=0),
    'elections and a crash': Bounds(
        records=2, sends_a=0, sends_b=0, crashes=1
    ),
    'a full disk and a crash in one term': Bounds(
        records=2, sends_a=0, sends_b=0, terms=1, crashes=1, refusals=1
    ),
}
# Searches that take one or two minutes each to visit all states; "make model"
# runs these, too.
LARGE_BOUNDS = {
    'one edit and a crash': Bounds(records=2, sends_a=1, sends_b=0),
    'two edits and a crash': Bounds(records=2, sends_a=1),
    'one edit over two terms': Bounds(
        records=3, sends_a=1, sends_b=0, crashes=0
    ),
    # A minority misses records, one member loses its disk, and one crashes.
    # These may occur in any order.
    'a lost disk, a crash and a new member': Bounds(
        spares=1, losses=1, sends_a=0, sends_b=0, terms=1, tolerate=1
    ),
    'a full disk and a crash': Bounds(
        records=2, sends_a=0, sends_b=0, refusals=1
    ),
    'a full disk, a crash and an edit in one term': Bounds(
        sends_a=1, sends_b=0, terms=1, refusals=1
    ),
    'two full disks one after another': Bounds(
        records=2, sends_a=0, sends_b=0, crashes=0, refusals=2
    ),
    # A member stops for good as planned, its successor and all others may seem
    # silent and vote again, and one member loses its disk. These may occur in
    # any order, and any message may be lost, as in a split.
    'a planned stop, a lost disk and a new member': REPLACEMENT,
    'a lost disk and a new member': Bounds(
        spares=1, losses=1, crashes=0, sends_a=0, sends_b=0, terms=1
    ),
}
# For each mistake, the bounds of a search that finds it, and the property that
# the mistake violates.
MISTAKES = {
    Mistake.ANSWER_BEFORE_MAJORITY: (
        Bounds(),
        'leader-has-what-was-committed',
    ),
    Mistake.NO_SYNC_BEFORE_REPLY: (
        Bounds(sends_a=1),
        'leader-has-what-was-committed',
    ),
    Mistake.VOTE_NOT_SYNCED: (
        Bounds(terms=1),
        'one-leader-per-term',
    ),
    Mistake.VOTE_IGNORES_LOG: (Bounds(), 'leader-has-what-was-committed'),
    Mistake.COMMIT_OLD_TERM: (
        Bounds(terms=4, sends_a=0, sends_b=0, short_batches=True, crashes=0),
        'leader-has-what-was-committed',
    ),
    Mistake.WIPED_KEEPS_IDENTITY: (
        Bounds(losses=1, crashes=0),
        'one-leader-per-term',
    ),
    Mistake.SWAP_IN_ONE_CHANGE: (
        Bounds(spares=1, crashes=0, sends_a=1, sends_b=0),
        'leader-has-what-was-committed',
    ),
    Mistake.TWO_CHANGES_AT_ONCE: (
        Bounds(spares=1, crashes=0, sends_a=1, sends_b=0),
        'leader-has-what-was-committed',
    ),
    Mistake.ANSWERS_NOT_IN_SNAPSHOT: (
        Bounds(records=4, terms=1, crashes=0),
        'one-answer-per-key',
    ),
    Mistake.NO_ANSWERS_KEPT: (
        Bounds(records=4, terms=1),
        'one-answer-per-key',
    ),
    Mistake.SILENT_MEMBER_REMOVED: (
        Bounds(tolerate=1, losses=1, crashes=0, terms=1, records=4),
        'what-was-committed-is-on-a-disk',
    ),
    Mistake.UNSAVED_RECORD_COUNTS: (
        Bounds(sends_a=0, sends_b=0, refusals=1),
        'leader-has-what-was-committed',
    ),
    Mistake.UNSAVED_VOTE_COUNTS: (
        Bounds(terms=1, refusals=1),
        'one-leader-per-term',
    ),
    Mistake.STOP_BEFORE_VOTE_IS_TAKEN: (REPLACEMENT, 'a-quorum-survives'),
    Mistake.ONLY_VOTERS_CAMPAIGN: (REPLACEMENT, 'a-quorum-survives'),
    Mistake.BASE_VERSION_IGNORED: (
        Bounds(records=4, terms=1),
        'one-winner-per-version',
    ),
}


def prove(bounds: Bounds) -> checking.Result:
    """Check the specification without mistakes and return the result.

    The search covers all states within the bounds.
    """
    return checking.check(catalogue_log.CatalogueLog(bounds), MAX_STATES)


def find_violation(mistake: Mistake) -> checking.Result:
    """Return the result of the search for a violation caused by the mistake.

    The trace of the result is one of the shortest paths to a violation.
    """
    bounds, _ = MISTAKES[mistake]
    specification = catalogue_log.CatalogueLog(bounds, mistake)
    return checking.find_violation(specification, MAX_STATES)
