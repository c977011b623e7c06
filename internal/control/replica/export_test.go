package replica

// SetLimits lowers the thresholds of compaction of a node that does not run yet.
func SetLimits(n *Node, entries int, keep Index) {
	n.limits.Entries, n.limits.Keep = entries, keep
}
