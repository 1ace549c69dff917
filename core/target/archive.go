package target

import (
	"encoding/binary"
	"slices"
)

// archive is a FIFO of records, in blocks without pointers, so that the garbage collector does not scan them.
type archive struct {
	blocks []block
	// first is the sequence number of blocks[0].
	first uint32
	// blockBytes is the size of a block; a record that is larger gets a block of its own.
	blockBytes int
	// bytes is the total size of the blocks.
	bytes int
}

// block holds records, each prefixed with its length.
type block struct {
	records []byte
	// head is the offset of the oldest record.
	head int
}

// recordPlace is the location of a record.
type recordPlace struct {
	block, offset uint32
	archiveIndex  uint8
}

// lengthBytes is the size of the length prefix.
const lengthBytes = 4

// add appends a record and returns its place, with archiveIndex unset.
func (a *archive) add(record []byte) recordPlace {
	framed := lengthBytes + len(record)
	if len(a.blocks) == 0 || a.last().free() < framed {
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

func (b *block) free() int {
	return cap(b.records) - len(b.records)
}

// read returns the record at a place. The caller must not modify it.
func (a *archive) read(at recordPlace) []byte {
	return a.blocks[at.block-a.first].read(int(at.offset))
}

func (b *block) read(offset int) []byte {
	start := offset + lengthBytes
	end := start + int(binary.LittleEndian.Uint32(b.records[offset:]))
	return b.records[start:end:end]
}

// oldest returns the oldest record and its place, with archiveIndex unset, or nil.
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
