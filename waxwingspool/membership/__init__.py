"""Membership, gossip and configuration rollout between balancers."""
