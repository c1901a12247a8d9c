"""The node: adapters around the decision core, and the node binary."""
