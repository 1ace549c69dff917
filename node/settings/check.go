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

// Problem is one fault of a settings file.
type Problem struct {
	Line    int
	Path    string
	Message string
	Remedy  string
}

// Problems is the error of a file with one or more faults, in the order of their lines.
type Problems struct {
	Name string
	List []Problem
}

// Error lists every problem, one a line.
func (p *Problems) Error() string {
	lines := make([]string, 0, len(p.List))
	for _, problem := range p.List {
		lines = append(lines, fmt.Sprintf("%s:%d: %s %s; %s",
			p.Name, problem.Line, problem.Path, problem.Message, problem.Remedy))
	}
	return strings.Join(lines, "\n")
}

// checker collects problems and knows the line of each value.
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

// line returns the line of the value at path, or of its nearest parent that exists.
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

func (c *checker) require(good bool, path, message, remedy string) {
	if !good {
		c.add(path, message, remedy)
	}
}

func (c *checker) between(path string, value, low, high int) {
	good := value >= low && value <= high
	c.require(good, path, fmt.Sprintf("is %d", value), fmt.Sprintf("give a number from %d to %d", low, high))
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
	good := err == nil && portErr == nil && number >= 0 && number <= 65535 && net.ParseIP(host) != nil
	c.require(good, path, fmt.Sprintf("is %q", value), "write an IP number and a port, like 127.0.0.1:7101")
}

func (c *checker) addresses(path string, values []string) {
	for i, value := range values {
		c.address(fmt.Sprintf("%s/%d", path, i), value)
	}
}

// decode parses text into file and notes unknown fields and wrong types. A text that is no JSON is an error at once.
func decode(name string, text []byte, file *File) (*checker, error) {
	root, err := hujson.Parse(bytes.Clone(text))
	if err != nil {
		return nil, fault.New(fault.Malformed, "mend the JSON at the place named", "settings %s: %v", name, err)
	}
	c := &checker{name: name, text: text, root: root}
	c.walk("", root, reflect.TypeFor[File]())
	if c.failed() {
		return c, nil
	}
	plain := root.Clone()
	plain.Standardize()
	if err := json.Unmarshal(plain.Pack(), file); err != nil {
		c.add("", err.Error(), "mend the value named")
	}
	return c, nil
}

// walk compares a JSON value with the type that will hold it.
func (c *checker) walk(path string, value hujson.Value, want reflect.Type) {
	if want.Kind() == reflect.Pointer {
		want = want.Elem()
	}
	switch held := value.Value.(type) {
	case *hujson.Object:
		c.walkObject(path, held, want)
	case *hujson.Array:
		c.walkArray(path, held, want)
	case hujson.Literal:
		c.walkLiteral(path, held, want)
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
		below := path + "/" + escape(name)
		field, known := fields[name]
		c.require(known, below, "is not known", "remove it or use one of "+strings.Join(sortedNames(fields), ", "))
		c.require(!seen[name], below, "stands twice", "keep one of them")
		seen[name] = true
		if known {
			c.walk(below, member.Value, field)
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
	holder := reflect.New(want)
	if err := json.Unmarshal(literal, holder.Interface()); err != nil {
		c.add(path, fmt.Sprintf("is %s", string(literal)), "give a "+kindName(want))
	}
}

// fieldTypes returns a struct's fields by their JSON names.
func fieldTypes(of reflect.Type) map[string]reflect.Type {
	fields := map[string]reflect.Type{}
	for i := range of.NumField() {
		name, _, _ := strings.Cut(of.Field(i).Tag.Get("json"), ",")
		fields[name] = of.Field(i).Type
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

// escape writes a name as a JSON pointer does.
func escape(name string) string {
	return strings.ReplaceAll(strings.ReplaceAll(name, "~", "~0"), "/", "~1")
}

func kindName(of reflect.Type) string {
	switch of.Kind() {
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
