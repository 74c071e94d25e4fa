"""The session pooler: callers' sessions laid on few connections to instances."""
