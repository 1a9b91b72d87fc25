"""Operators: the commands that read and change declarations and keys."""
