"""Adapter for the platform: its names, wire formats, and calls, without policy.

The package returns only types that use the product's own terms; the mapping is in
``docs/GLOSSARY.md``.
"""
