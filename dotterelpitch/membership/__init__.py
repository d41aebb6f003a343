"""Each process's view of the VMs of the fleet, and the gossip that feeds it."""
