"""The fleet's own authority: certificates for agents and operators, and TLS made of them."""
