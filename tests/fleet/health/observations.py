"""Builds observations for the tests of shared health."""

from milletsill.fleet.health.report_store import NodeObservation


def observation(lost=0.0, pace=0.0, now=0, answers=1.0):
    return NodeObservation(0, now, answers, lost, lost, answers * (1 - lost), pace)
