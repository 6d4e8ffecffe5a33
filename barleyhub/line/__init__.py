"""The whole system's decisions at a gateway: admission by quotas, choice of server, further tries. Pure."""
