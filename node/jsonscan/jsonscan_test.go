package jsonscan

import "testing"

func TestLongestList_CountsElementsAtTheDepth(t *testing.T) {
	for _, c := range []struct {
		text  string
		depth int
		want  int
	}{
		{``, 1, 0},
		{`null`, 1, 0},
		{`{"a":1,"b":2}`, 1, 0},
		{`[]`, 1, 0},
		{" [ \t\r\n] ", 1, 0},
		{`[0]`, 1, 1},
		{`[ 1 , 2 ]`, 1, 2},
		{`[[],[]]`, 1, 2},
		{`[{},{"a":[1,2]}]`, 1, 2},
		{`["a,b","]","\",",","]`, 1, 4},
		{`["\\",1]`, 1, 2},
		{`[[1,2,3],[1]]`, 2, 3},
		{`{"a":[1],"b":[1,2],"c":{"d":1,"e":2,"f":3}}`, 2, 2},
		{`{"a":[{"b":[1,2,3]}]}`, 2, 1},
		{`{"a":[{"b":[1,2,3]}]}`, 4, 3},
		{`[1,2`, 1, 2},
		{`["`, 1, 1},
		{`]]`, 1, 0},
	} {
		if got := LongestList([]byte(c.text), c.depth); got != c.want {
			t.Errorf("%s at depth %d: %d, want %d", c.text, c.depth, got, c.want)
		}
	}
}

func TestNesting_CountsArraysAndObjects(t *testing.T) {
	for text, want := range map[string]int{``: 0, `1`: 0, `[]`: 1, `{"a":[{}],"b":[]}`: 3, `"[[["`: 0, `["\"[[",[]]`: 2, `[[[`: 3} {
		if got := Nesting([]byte(text)); got != want {
			t.Errorf("%s: %d, want %d", text, got, want)
		}
	}
}
