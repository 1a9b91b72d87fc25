"""Which turn runs next, and on which engine, while more turns come than fit."""
