package claim

// Image is the snapshot of a Table, least recently touched job first.
type Image struct {
	Records []record `cbor:"records"`
	// Stubs holds the packed stubs, oldest first.
	Stubs []byte `cbor:"stubs"`
}

// Size estimates the encoded size of an image, in bytes.
func (t *Table) Size() int {
	stubs := t.stubs.len()
	unfinished := t.recordBytes - stubBytes*(stubs+len(t.answered))
	return packedStubBytes*stubs + t.answerBytes + unfinished
}

// Image returns a snapshot of the table, which shares memory with the table.
func (t *Table) Image() Image {
	image := Image{Records: make([]record, 0, t.order.Len()), Stubs: t.stubs.pack()}
	for element := t.order.Front(); element != nil; element = element.Next() {
		image.Records = append(image.Records, *element.Value.(*record))
	}
	return image
}

// Restore returns a table with the content of the image.
func Restore(limits Limits, image Image) *Table {
	restored := NewTable(limits)
	restored.stubs.unpack(image.Stubs)
	restored.recordBytes = stubBytes * restored.stubs.len()
	for i := range image.Records {
		job := &image.Records[i]
		restored.insert(job)
		if job.Finished {
			restored.answered = append(restored.answered, job)
		}
	}
	return restored
}
