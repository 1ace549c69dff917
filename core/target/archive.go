package target

import (
	"encoding/binary"
	"slices"
)

// archive keeps records in the order in which they came, in blocks without pointers, so that the garbage collector
// finds nothing to follow in them. Records leave in the same order.
type archive struct {
	blocks []block
	// first is the number of blocks[0].
	first uint32
	// blockBytes is the size of a block; a larger record gets a block of its own.
	blockBytes int
	// bytes is the size of all blocks.
	bytes int
}

// block holds records, each after its length.
type block struct {
	records []byte
	// head is where the oldest record starts.
	head int
}

// recordPlace is where a record lies.
type recordPlace struct {
	block, offset uint32
	list          uint8
}

// lengthBytes is the size of a record's length.
const lengthBytes = 4

// add appends a record and returns its place, without the list.
func (a *archive) add(record []byte) recordPlace {
	framed := lengthBytes + len(record)
	if len(a.blocks) == 0 || a.last().room() < framed {
		size := max(a.blockBytes, framed)
		a.blocks = append(a.blocks, block{records: make([]byte, 0, size)})
		a.bytes += size
	}
	last := a.last()
	at := recordPlace{block: a.first + uint32(len(a.blocks)-1), offset: uint32(len(last.records))}
	last.records = binary.LittleEndian.AppendUint32(last.records, uint32(len(record)))
	last.records = append(last.records, record...)
	return at
}

func (a *archive) last() *block {
	return &a.blocks[len(a.blocks)-1]
}

func (b *block) room() int {
	return cap(b.records) - len(b.records)
}

// read returns the record at a place. It must not be changed.
func (a *archive) read(at recordPlace) []byte {
	return a.blocks[at.block-a.first].read(int(at.offset))
}

func (b *block) read(offset int) []byte {
	start := offset + lengthBytes
	end := start + int(binary.LittleEndian.Uint32(b.records[offset:]))
	return b.records[start:end:end]
}

// oldest returns the oldest record and its place, without the list, or nil.
func (a *archive) oldest() ([]byte, recordPlace) {
	if len(a.blocks) == 0 {
		return nil, recordPlace{}
	}
	head := a.blocks[0].head
	return a.blocks[0].read(head), recordPlace{block: a.first, offset: uint32(head)}
}

// drop removes the oldest record.
func (a *archive) drop() {
	oldest := &a.blocks[0]
	oldest.head += lengthBytes + len(oldest.read(oldest.head))
	if oldest.head < len(oldest.records) {
		return
	}
	a.bytes -= cap(oldest.records)
	a.blocks = slices.Delete(a.blocks, 0, 1)
	a.first++
}
