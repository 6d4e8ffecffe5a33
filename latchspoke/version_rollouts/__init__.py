"""Rollouts of a service's new version: the replicated record, pooled samples, and the judgement on them."""
