"""Days of a whole deployment in virtual time, with the real code of both programs."""
