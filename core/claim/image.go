package claim

// Image is the table in a snapshot, least recently touched job first.
type Image struct {
	Records []record `cbor:"records"`
	Stubs   []stub   `cbor:"stubs"`
}

// Image returns the table's content; it shares memory with the table.
func (t *Table) Image() Image {
	image := Image{Records: make([]record, 0, t.order.Len()), Stubs: t.stubs.queue[t.stubs.head:]}
	for element := t.order.Front(); element != nil; element = element.Next() {
		image.Records = append(image.Records, *element.Value.(*record))
	}
	return image
}

// Restore returns the table that an image describes.
func Restore(limits Limits, image Image) *Table {
	restored := NewTable(limits)
	for _, one := range image.Stubs {
		restored.stubs.push(one)
		restored.recordBytes += stubSize
	}
	for i := range image.Records {
		job := &image.Records[i]
		restored.insert(job)
		if job.Finished {
			restored.answered = append(restored.answered, job)
		}
	}
	return restored
}
