package settings

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"reflect"
	"sort"
	"strconv"
	"strings"

	"github.com/tailscale/hujson"

	"flamingohall.example/core/fault"
)

// maxPort is the highest TCP port.
const maxPort = 65535

// Problem is one fault in a settings file.
type Problem struct {
	Line    int
	Path    string
	Message string
	Remedy  string
}

// Problems is the error for a file with one or more faults, sorted by line.
type Problems struct {
	Name string
	List []Problem
}

// Error lists the problems, one on each line.
func (p *Problems) Error() string {
	lines := make([]string, 0, len(p.List))
	for _, problem := range p.List {
		lines = append(lines, fmt.Sprintf("%s:%d: %s %s; %s",
			p.Name, problem.Line, problem.Path, problem.Message, problem.Remedy))
	}
	return strings.Join(lines, "\n")
}

// checker collects problems and finds the line of each value.
type checker struct {
	name string
	text []byte
	root hujson.Value
	list []Problem
}

func (c *checker) failed() bool {
	return len(c.list) > 0
}

func (c *checker) problems() *Problems {
	sort.SliceStable(c.list, func(i, j int) bool { return c.list[i].Line < c.list[j].Line })
	return &Problems{Name: c.name, List: c.list}
}

func (c *checker) add(path, message, remedy string) {
	c.list = append(c.list, Problem{Line: c.line(path), Path: path, Message: message, Remedy: remedy})
}

// line returns the line of the value at path, or of its nearest existing parent.
func (c *checker) line(path string) int {
	for path != "" {
		if value := c.root.Find(path); value != nil {
			return c.lineAt(value.StartOffset)
		}
		path = path[:strings.LastIndex(path, "/")]
	}
	return 1
}

func (c *checker) lineAt(offset int) int {
	return 1 + bytes.Count(c.text[:offset], []byte("\n"))
}

func (c *checker) require(ok bool, path, message, remedy string) {
	if !ok {
		c.add(path, message, remedy)
	}
}

func (c *checker) between(path string, value, low, high int) {
	ok := value >= low && value <= high
	c.require(ok, path, fmt.Sprintf("is %d", value), fmt.Sprintf("give a number from %d to %d", low, high))
}

func (c *checker) oneOf(path, value string, allowed ...string) {
	for _, candidate := range allowed {
		if value == candidate {
			return
		}
	}
	c.add(path, fmt.Sprintf("is %q", value), "give one of "+strings.Join(allowed, ", "))
}

func (c *checker) address(path, value string) {
	host, port, err := net.SplitHostPort(value)
	number, portErr := strconv.Atoi(port)
	ok := err == nil && portErr == nil && number >= 0 && number <= maxPort && net.ParseIP(host) != nil
	c.require(ok, path, fmt.Sprintf("is %q", value), "write an IP address and a port, like 127.0.0.1:7101")
}

// hostPort checks an address whose host may be a name, and which other processes connect to.
func (c *checker) hostPort(path, value string) {
	host, port, err := net.SplitHostPort(value)
	number, portErr := strconv.Atoi(port)
	ok := err == nil && portErr == nil && number >= 0 && number <= maxPort && host != ""
	c.require(ok, path, fmt.Sprintf("is %q", value), "write a host and a port, like entry-1.example:7101")
}

func (c *checker) addresses(path string, values []string) {
	for i, value := range values {
		c.address(fmt.Sprintf("%s/%d", path, i), value)
	}
}

// decode parses text into file and collects unknown fields and wrong types as problems. Text that is not valid JSON is an
// error.
func decode(name string, text []byte, file *File) (*checker, error) {
	root, err := hujson.Parse(bytes.Clone(text))
	if err != nil {
		return nil, fault.New(fault.Malformed, "correct the JSON at the position named", "settings %s: %v", name, err)
	}
	c := &checker{name: name, text: text, root: root}
	c.walk("", root, reflect.TypeFor[File]())
	if c.failed() {
		return c, nil
	}
	plain := root.Clone()
	plain.Standardize()
	if err := json.Unmarshal(plain.Pack(), file); err != nil {
		c.add("", err.Error(), "correct the value named")
	}
	return c, nil
}

// walk checks a JSON value against the type that it will be decoded into.
func (c *checker) walk(path string, value hujson.Value, want reflect.Type) {
	if want.Kind() == reflect.Pointer {
		want = want.Elem()
	}
	switch v := value.Value.(type) {
	case *hujson.Object:
		c.walkObject(path, v, want)
	case *hujson.Array:
		c.walkArray(path, v, want)
	case hujson.Literal:
		c.walkLiteral(path, v, want)
	}
}

func (c *checker) walkObject(path string, object *hujson.Object, want reflect.Type) {
	if want.Kind() != reflect.Struct {
		c.add(path, "is an object", "give a "+kindName(want))
		return
	}
	fields := fieldTypes(want)
	seen := map[string]bool{}
	for _, member := range object.Members {
		literal, _ := member.Name.Value.(hujson.Literal)
		name := literal.String()
		child := path + "/" + escape(name)
		field, known := fields[name]
		c.require(known, child, "is not known", "remove it or use one of "+strings.Join(sortedNames(fields), ", "))
		c.require(!seen[name], child, "appears twice", "keep one of them")
		seen[name] = true
		if known {
			c.walk(child, member.Value, field)
		}
	}
}

func (c *checker) walkArray(path string, array *hujson.Array, want reflect.Type) {
	if want.Kind() != reflect.Slice {
		c.add(path, "is a list", "give a "+kindName(want))
		return
	}
	for i, element := range array.Elements {
		c.walk(fmt.Sprintf("%s/%d", path, i), element, want.Elem())
	}
}

func (c *checker) walkLiteral(path string, literal hujson.Literal, want reflect.Type) {
	decoded := reflect.New(want)
	if err := json.Unmarshal(literal, decoded.Interface()); err != nil {
		c.add(path, fmt.Sprintf("is %s", string(literal)), "give a "+kindName(want))
	}
}

// fieldTypes maps the JSON names of a struct's fields to their types.
func fieldTypes(t reflect.Type) map[string]reflect.Type {
	fields := map[string]reflect.Type{}
	for i := range t.NumField() {
		name, _, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
		fields[name] = t.Field(i).Type
	}
	return fields
}

func sortedNames(fields map[string]reflect.Type) []string {
	names := make([]string, 0, len(fields))
	for name := range fields {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// escape escapes a name for use in a JSON pointer.
func escape(name string) string {
	return strings.ReplaceAll(strings.ReplaceAll(name, "~", "~0"), "/", "~1")
}

func kindName(t reflect.Type) string {
	switch t.Kind() {
	case reflect.String:
		return "text"
	case reflect.Int, reflect.Int64, reflect.Uint64:
		return "whole number"
	case reflect.Float64:
		return "number"
	case reflect.Slice:
		return "list"
	case reflect.Bool:
		return "true or false"
	default:
		return "object"
	}
}
