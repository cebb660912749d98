"""Frames of kind HEALTH, to and from rows: protobuf, bounded, ages instead of times so that no clock is compared."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from typing import Any

from google.protobuf.message import DecodeError

from milletsill.fleet.health.health_pb2 import Difference as DifferenceFrame
from milletsill.fleet.health.health_pb2 import Frame, Known
from milletsill.fleet.health.report_store import Difference, MalformedHealthReport, Word

VERSION, MOST_FRAME, MOST_WORDS, MOST_AGE = (
    1,
    60_000,
    4096,
    600_000,
)  # bytes; of a difference; milliseconds
SEEN, SHARE, PACE, MOST_SEEN, MOST_PACE = 16, 100, 16, 16_000, 16


def put(news: Difference, now: int) -> Any:
    made = DifferenceFrame(
        origin=news.origin, run=news.run, base=news.base, sequence=news.sequence
    )
    for box, word in news.words.items():
        made.word.add(
            box=box,
            back=news.sequence - word.sequence,
            age=min(max((now - word.at) // 10, 0), MOST_AGE),
            seen=round(word.seen * SEEN),
            lost=round(word.lost * SHARE),
            waste=round(word.waste * SHARE),
            paced=round(word.paced * SEEN),
            pace=round(word.pace * PACE),
        )
    return made


def get(made: Any, now: int) -> Difference:
    """Values out of their bounds are cut to them: a lie or a slip is one voice, no more."""
    if len(made.word) > MOST_WORDS or made.base > made.sequence:
        raise MalformedHealthReport(
            f"{len(made.word)} words, sequence {made.base} to {made.sequence}",
            f"origin {made.origin:016x}",
        )
    words = {}
    for each in made.word:
        if each.back > made.sequence:
            raise MalformedHealthReport(
                f"a word {each.back} before sequence {made.sequence}",
                f"origin {made.origin:016x}",
            )
        words[each.box] = Word(
            made.sequence - each.back,
            now - min(each.age, MOST_AGE) * 10,
            min(each.seen, MOST_SEEN) / SEEN,
            min(each.lost, SHARE) / SHARE,
            min(each.waste, SHARE) / SHARE,
            min(each.paced, MOST_SEEN) / SEEN,
            max(min(each.pace, MOST_PACE * PACE), -MOST_PACE * PACE) / PACE,
        )
    return Difference(made.origin, made.run, made.base, made.sequence, words)


def rounded(word: Word) -> Word:
    """As all others will have it: the origin keeps the same."""
    return Word(
        word.sequence,
        word.at,
        min(round(word.seen * SEEN), MOST_SEEN) / SEEN,
        round(word.lost * SHARE) / SHARE,
        round(word.waste * SHARE) / SHARE,
        min(round(word.paced * SEEN), MOST_SEEN) / SEEN,
        max(min(round(word.pace * PACE), MOST_PACE * PACE), -MOST_PACE * PACE) / PACE,
    )


def bodies(
    news: Iterable[Difference], known: Iterable[tuple[int, int, int]], now: int
) -> Iterator[bytes]:
    """Frames for some differences and what is known, each within the bound on length. A part of a difference would say that
    it is whole: one that is too long goes alone, one past the bound not at all (4,096 words need more than a frame).
    """
    frame, size = Frame(version=VERSION), 0
    for kind, each in [("difference", put(one, now)) for one in news] + [
        ("known", Known(origin=origin, run=run, sequence=upto))
        for origin, run, upto in known
    ]:
        length = each.ByteSize() + 4
        if size + length > MOST_FRAME and size:
            yield frame.SerializeToString()
            frame, size = Frame(version=VERSION), 0
        if length <= 4 * MOST_FRAME:
            getattr(frame, kind).append(each)
            size += length
    if size:
        yield frame.SerializeToString()


def decoded(body: bytes) -> Any:
    """A frame of ours. Later versions are read as far as they are known; what is none is RowRefused."""
    if len(body) > 5 * MOST_FRAME:
        raise MalformedHealthReport(
            f"a frame of {len(body)} bytes, {5 * MOST_FRAME} at most"
        )
    try:
        return Frame.FromString(body)
    except DecodeError:
        raise MalformedHealthReport("a frame that is no protobuf of ours") from None
