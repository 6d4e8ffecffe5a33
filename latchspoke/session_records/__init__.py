"""Replicated session records of callers that move between gateways.

``record`` defines the record and its placement on gateways, ``store`` replicates records between gateways,
``decision`` resolves a request from a record, and ``coordinator`` takes a gateway's requests through all of
it. None of these modules performs I/O or reads a clock: messages and the time are passed in, messages to send
and directives to carry out are returned. The design is described in docs/travel.md.
"""
