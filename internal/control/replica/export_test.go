package replica

// SetCompaction lowers the thresholds of compaction of a node that does not run yet.
func SetCompaction(n *Node, entries int, keep Index) {
	n.limits.MaxEntries, n.limits.TrailingEntries = entries, keep
}
