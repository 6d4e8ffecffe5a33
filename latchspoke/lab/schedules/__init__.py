"""Members and holders of duties in virtual time, faults between them by the thousand, and a checker."""
