// Package jsonscan measures JSON text before it is decoded: a few bytes of text can become hundreds in memory.
package jsonscan

// Nesting returns the most arrays and objects around a value.
func Nesting(text []byte) (deepest int) {
	depth := 0
	for i := 0; i < len(text); i++ {
		switch text[i] {
		case '[', '{':
			depth++
			deepest = max(deepest, depth)
		case ']', '}':
			depth--
		case '"':
			i = endOfString(text, i)
		}
	}
	return deepest
}

// LongestList returns the number of elements of the longest array at a depth, that is with depth-1 arrays and objects around it. Text that
// isn't valid JSON has some number.
func LongestList(text []byte, depth int) (longest int) {
	at, length, isList := 0, 0, false
	for i := 0; i < len(text); i++ {
		c := text[i]
		switch c {
		case ' ', '\t', '\r', '\n':
			continue
		case ']', '}':
			at--
			continue
		}
		if at == depth && isList {
			length = max(length, 1)
			if c == ',' {
				length++
			}
			longest = max(longest, length)
		}
		switch c {
		case '[', '{':
			if at++; at == depth {
				isList, length = c == '[', 0
			}
		case '"':
			i = endOfString(text, i)
		}
	}
	return longest
}

// endOfString returns the position of the quote that ends the string at start, or the length of a text that doesn't end it.
func endOfString(text []byte, start int) int {
	for i := start + 1; i < len(text); i++ {
		switch text[i] {
		case '"':
			return i
		case '\\':
			i++
		}
	}
	return len(text)
}
