"""Measurements of the policies, outside the shipped package."""
