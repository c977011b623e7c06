package replica

// SetCompaction sets the thresholds of compaction of a node that isn't running yet.
func SetCompaction(n *Node, entries int, keep Index) {
	n.compaction.MaxEntries, n.compaction.TrailingEntries = entries, keep
}
