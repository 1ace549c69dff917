package claim

// Image is the table in a snapshot, least recently touched job first.
type Image struct {
	Records []record `cbor:"records"`
}

// Image returns the table's content; it shares memory with the table.
func (t *Table) Image() Image {
	image := Image{Records: make([]record, 0, t.order.Len())}
	for element := t.order.Front(); element != nil; element = element.Next() {
		image.Records = append(image.Records, *element.Value.(*record))
	}
	return image
}

// Restore returns the table that an image describes.
func Restore(limits Limits, image Image) *Table {
	restored := NewTable(limits)
	for i := range image.Records {
		job := &image.Records[i]
		restored.insert(job)
		if len(job.Body) > 0 {
			restored.answered = append(restored.answered, job)
			restored.answerBytes += len(job.Body)
		}
	}
	return restored
}
