package jobstore

import (
	"cmp"
	"slices"
)

// Image is the snapshot of a Table.
type Image struct {
	Jobs    []Job    `cbor:"jobs,omitempty"`
	Retired []string `cbor:"retired,omitempty"`
}

// Image returns a snapshot of the table. The order of the jobs depends only on the table's content.
func (t *Table) Image() Image {
	image := Image{Retired: t.retired}
	for _, j := range t.jobs {
		image.Jobs = append(image.Jobs, *j)
	}
	slices.SortFunc(image.Jobs, func(a, b Job) int {
		return cmp.Or(cmp.Compare(a.EndedMS, b.EndedMS), cmp.Compare(a.ID, b.ID))
	})
	return image
}

// Restore returns a table with the content of the image.
func Restore(limits Limits, image Image) *Table {
	t := NewTable(limits)
	t.retired = image.Retired
	for i := range image.Jobs {
		j := image.Jobs[i]
		t.jobs[j.ID] = &j
		if j.State != Open {
			t.ended = append(t.ended, j.ID)
			if j.State == CancelledEarly {
				t.earlyCancels++
			}
			continue
		}
		t.assign(&j)
		t.bytes += len(j.Body) + jobOverheadBytes
	}
	return t
}

// Size estimates the encoded size of an image, in bytes.
func (t *Table) Size() int {
	const endedJobBytes = 64
	return t.bytes + endedJobBytes*len(t.ended)
}
