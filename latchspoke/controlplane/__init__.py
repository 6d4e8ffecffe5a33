"""The control plane: replicated configuration, server registry, and their distribution to gateways."""
