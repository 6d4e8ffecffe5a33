"""Affinity: keeps each caller at one server, and moves as few callers as possible when a pool changes.

``rendezvous`` is the weighted hash, which gives the same results on every gateway. ``pool`` caches the
rankings for one service. ``diversion`` moves a share of callers away from a server and brings them back
gradually. ``selection`` chooses an upstream for a caller. ``plan`` explains where a caller goes and predicts
the effect of a change. See docs/affinity.md.
"""
