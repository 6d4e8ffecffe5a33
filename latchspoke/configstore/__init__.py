"""Replicated store of configuration and zone evacuations, on a majority of the control-plane nodes."""
