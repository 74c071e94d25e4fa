"""Measured experiments on the stand-ins; nothing here is shipped."""
