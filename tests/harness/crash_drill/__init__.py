"""A fleet of gateways whose engines crash under one request content."""
