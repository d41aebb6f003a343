"""At-most-once execution of keyed calls: ledger, leases, takeover, and outcomes."""
