"""The session pooler: multiplexes callers' sessions onto few instance connections."""
