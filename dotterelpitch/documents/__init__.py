"""Service documents: model, parsing, validation, and revisions."""
