"""Operator commands that read and change declarations and keys."""
