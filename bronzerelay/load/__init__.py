"""Decisions under load, as functions and state that need no network."""
