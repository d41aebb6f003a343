"""The users' platform: its names, formats, and calls, and nothing that decides.

Everything that leaves this package is typed in the product's own words; the
table is in ``docs/GLOSSARY.md``.
"""
