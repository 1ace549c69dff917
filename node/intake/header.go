package intake

import "bytes"

const (
	// lineBytes is what a header line takes beyond its text: a name, a list of values, and its part of a map that has just grown.
	lineBytes = 128
	// shortHeader is the part of a header that is included in connectionBytes.
	shortHeader = 6 << 10
	// manyLines is the number of lines beyond which a header is refused while less than half of the budget is left.
	manyLines = 128
	// bufferSize is the size of net/http's buffer, which may hold the beginning of the next request.
	bufferSize = 4 << 10
	// streamPreface begins a connection of HTTP/2, whose further bytes have no lines.
	streamPreface = "PRI * HTTP/2.0"
)

// header measures the headers of a connection's requests as they are read.
type header struct {
	bytes, lines int
	// early is how many of the lines were read with the previous request. Some of them may be lines of its body.
	early int
	// inLine is the number of bytes of the current line.
	inLine int
	// preface is the number of bytes that the connection has in common with streamPreface; -1 once they differ.
	preface int
	// hasEnded is true from the end of the header until the next one may begin. The tail is what net/http's buffer may hold beyond it.
	hasEnded                         bool
	tailBytes, tailLines, tailInLine int
}

// add measures bytes that were read into a buffer of the given size.
func (h *header) add(text []byte, size int) {
	if size > 1 {
		// net/http fills its buffer when no whole line is left in it.
		h.tailBytes, h.tailLines, h.tailInLine = 0, 0, 0
	}
	rest := text
	for len(rest) > 0 && !h.hasEnded {
		rest = h.addLine(rest)
	}
	if size == 1 {
		// The header of a request that was in the buffer may have ended unseen.
		rest = text
	}
	// Only bytes of the body are read past net/http's buffer.
	if size <= bufferSize {
		h.addTail(rest)
	}
}

// addTail measures bytes that remain in net/http's buffer.
func (h *header) addTail(text []byte) {
	h.tailBytes += len(text)
	h.tailLines += bytes.Count(text, []byte{'\n'})
	if last := bytes.LastIndexByte(text, '\n'); last >= 0 {
		h.tailInLine = len(text) - last - 1
	} else {
		h.tailInLine += len(text)
	}
}

// addLine measures the text up to the end of the line and returns the rest.
func (h *header) addLine(text []byte) []byte {
	line, rest, ends := bytes.Cut(text, []byte{'\n'})
	for _, char := range line[:min(len(line), len(streamPreface))] {
		if h.preface < 0 || h.preface >= len(streamPreface) {
			break
		}
		if char == streamPreface[h.preface] {
			h.preface++
		} else {
			h.preface = -1
		}
	}
	h.bytes += len(text) - len(rest)
	isEmpty := h.inLine == 0 && (len(line) == 0 || len(line) == 1 && line[0] == '\r') || h.inLine == 1 && len(line) == 0
	h.inLine += len(line)
	if !ends {
		return nil
	}
	h.lines++
	h.hasEnded = isEmpty
	h.inLine = 0
	return rest
}

// isStream reports whether the connection is one of HTTP/2.
func (h *header) isStream() bool {
	return h.preface == len(streamPreface)
}

// next begins the header of the next request. The tail may hold its beginning, and further requests before and after it.
func (h *header) next() {
	*h = header{
		bytes: h.tailBytes, lines: h.tailLines, early: h.tailLines, inLine: h.tailInLine, preface: -1,
		tailBytes: h.tailBytes, tailLines: h.tailLines, tailInLine: h.tailInLine,
	}
}

// excess returns the bytes that the header takes beyond a short one.
func (h *header) excess() int64 {
	return int64(max(0, h.bytes+h.lines*lineBytes-shortHeader))
}
