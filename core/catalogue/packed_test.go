package catalogue

import (
	"encoding/json"
	"fmt"
	"reflect"
	"testing"
)

// largeDocument returns a document with many entries, as text and parsed.
func largeDocument(t testing.TB, entries int) ([]byte, Document) {
	t.Helper()
	document := Document{Owners: []Owner{{Name: "o", Weight: 1}}, Pools: []Pool{{Name: "p"}}}
	for n := range entries {
		document.Entries = append(document.Entries, Entry{
			Name: fmt.Sprint("entry-", n), Owner: "o", Class: Repeatable, Pool: "p", ExpectedRunMS: 100, DeadlineMS: 1500,
			Attempts: 2, Priority: n % 3, Objective: Objective{LatencyMS: 60, Ratio: 0.99, Slack: 1.6},
			Address: &Address{Host: fmt.Sprint("h", n%7, ".example"), Prefix: fmt.Sprint("/p", n, "/")},
		})
	}
	text, err := json.Marshal(document)
	if err != nil {
		t.Fatal(err)
	}
	parsed, err := Parse(text)
	if err != nil {
		t.Fatal(err)
	}
	return text, parsed
}

func TestPack_RoundTripAndSize(t *testing.T) {
	text, parsed := largeDocument(t, 1400)
	packed, err := parsed.Pack()
	if err != nil {
		t.Fatal(err)
	}
	unpacked, err := Unpack(packed)
	if err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(unpacked, parsed) {
		t.Error("the unpacked document differs")
	}
	if len(packed) > len(text)/5 {
		t.Errorf("the packed document has %d bytes, the text %d; want at most a fifth", len(packed), len(text))
	}
	for _, cut := range []int{0, 1, len(packed) / 2, len(packed) - 1} {
		if _, err := Unpack(packed[:cut]); err == nil {
			t.Errorf("the first %d of %d bytes were decoded without an error", cut, len(packed))
		}
	}
}

func BenchmarkParse(b *testing.B) {
	text, _ := largeDocument(b, 1400)
	for b.Loop() {
		if _, err := Parse(text); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkUnpack(b *testing.B) {
	_, parsed := largeDocument(b, 1400)
	packed, err := parsed.Pack()
	if err != nil {
		b.Fatal(err)
	}
	b.ReportMetric(float64(len(packed)), "bytes")
	for b.Loop() {
		if _, err := Unpack(packed); err != nil {
			b.Fatal(err)
		}
	}
}
