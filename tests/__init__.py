"""Tests of celerypulley and its tools."""
