package slot

import "hash/fnv"

// Share returns how many slots of an upstream an instance uses that does not lease them. index is its place
// among the count instances, sorted by name. All shares add up to the slots; which instances get one
// more than others depends on the upstream.
func Share(upstream string, slots, index, count int) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(upstream)) // never fails
	share := slots / count
	if (index+int(h.Sum32()%uint32(count)))%count < slots%count {
		share++
	}
	return share
}
