"""The agent process of a VM: platform reads, membership, gossip, and placement."""
