package disk

// SetSegmentBytes sets the size at which groups that are opened later start a new segment.
func (d *Directory) SetSegmentBytes(n int) { d.segmentBytes = n }
