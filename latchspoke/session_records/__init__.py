"""Records of callers that travel between edge sites: who has them, under which number, what they say.

``record`` is the record and who owns it; ``office`` keeps records with the other gateways; ``verdict`` says
what is done by one, and ``desk`` takes a site's requests through it. All of it is pure: messages and the time
go in, what is to be sent and answered comes out. docs/travel.md tells why it is as it is.
"""
