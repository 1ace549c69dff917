package trace

import (
	"encoding/json"
	"reflect"

	"github.com/go-faster/errors"

	"flamingohall.example/core/fault"
)

// Message is one event or effect with the name of its type.
type Message struct {
	Type string          `json:"type"`
	Data json.RawMessage `json:"data"`
}

// Codec knows the types of an aggregate's events and effects.
type Codec struct {
	types map[string]reflect.Type
}

// NewCodec returns a codec for the types of the given values.
func NewCodec(values ...any) Codec {
	codec := Codec{types: map[string]reflect.Type{}}
	for _, value := range values {
		kind := reflect.TypeOf(value)
		codec.types[kind.Name()] = kind
	}
	return codec
}

// Encode returns the message that holds value.
func (c Codec) Encode(value any) (Message, error) {
	kind := reflect.TypeOf(value)
	if c.types[kind.Name()] != kind {
		return Message{}, fault.New(fault.Internal, "add the type to the codec", "trace: unknown type %s", kind)
	}
	data, err := json.Marshal(value)
	if err != nil {
		return Message{}, errors.Wrap(err, "trace")
	}
	return Message{Type: kind.Name(), Data: data}, nil
}

// Decode returns the value that the message holds.
func (c Codec) Decode(message Message) (any, error) {
	kind, known := c.types[message.Type]
	if !known {
		return nil, fault.New(fault.Malformed, "use a recording of this version", "trace: unknown type %q", message.Type)
	}
	holder := reflect.New(kind)
	if err := json.Unmarshal(message.Data, holder.Interface()); err != nil {
		return nil, fault.New(fault.Malformed, "use an unchanged recording", "trace: %s: %v", message.Type, err)
	}
	return holder.Elem().Interface(), nil
}
