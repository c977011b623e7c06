package replica

// SetCompaction sets the thresholds of compaction of a node that isn't running yet.
func SetCompaction(n *Node, maxEntries int, trailing Index) {
	n.compaction.MaxEntries, n.compaction.TrailingEntries = maxEntries, trailing
}
