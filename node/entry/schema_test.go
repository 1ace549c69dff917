package entry

import (
	"encoding/json"
	"os"
	"reflect"
	"slices"
	"strings"
	"testing"
)

// The published schema has exactly the fields that the API reads and writes.
func TestSchema_MatchesTheAPI(t *testing.T) {
	text, err := os.ReadFile("../../docs/api.schema.json")
	if err != nil {
		t.Fatal(err)
	}
	var schema struct {
		Defs map[string]struct {
			Properties map[string]json.RawMessage `json:"properties"`
		} `json:"$defs"`
	}
	if err := json.Unmarshal(text, &schema); err != nil {
		t.Fatal(err)
	}
	for name, value := range map[string]any{
		"submission": submission{}, "task": taskSubmission{}, "answer": answer{},
		"task_answer": taskAnswer{}, "timing": timing{}, "error": errorBody{},
	} {
		var published []string
		for field := range schema.Defs[name].Properties {
			published = append(published, field)
		}
		slices.Sort(published)
		if fields := fieldNames(value); !slices.Equal(fields, published) {
			t.Errorf("%s: code has %v, schema has %v", name, fields, published)
		}
	}
}

func fieldNames(value any) []string {
	var names []string
	for i := range reflect.TypeOf(value).NumField() {
		name, _, _ := strings.Cut(reflect.TypeOf(value).Field(i).Tag.Get("json"), ",")
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
