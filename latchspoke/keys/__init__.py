"""The fleet's certificate authority, its certificates, and TLS contexts that use them."""
