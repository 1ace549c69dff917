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

// Codec encodes and decodes the events and effects of an aggregate, which it identifies by the names of their types.
type Codec struct {
	types map[string]reflect.Type
}

// NewCodec returns a codec for the types of the given values.
func NewCodec(values ...any) Codec {
	codec := Codec{types: map[string]reflect.Type{}}
	for _, value := range values {
		typ := reflect.TypeOf(value)
		codec.types[typ.Name()] = typ
	}
	return codec
}

// Encode returns the message for value. It fails for a type that the codec was not given.
func (c Codec) Encode(value any) (Message, error) {
	typ := reflect.TypeOf(value)
	if c.types[typ.Name()] != typ {
		return Message{}, fault.New(fault.Internal, "add the type to the codec", "trace: unknown type %s", typ)
	}
	data, err := json.Marshal(value)
	if err != nil {
		return Message{}, errors.Wrap(err, "trace: encode event or effect")
	}
	return Message{Type: typ.Name(), Data: data}, nil
}

// Decode returns the value of the message. It returns a fault.Malformed error for an unknown type or unreadable data.
func (c Codec) Decode(message Message) (any, error) {
	typ, known := c.types[message.Type]
	if !known {
		return nil, fault.New(fault.Malformed, "use a recording of this version", "trace: unknown type %q", message.Type)
	}
	decoded := reflect.New(typ)
	if err := json.Unmarshal(message.Data, decoded.Interface()); err != nil {
		return nil, fault.New(fault.Malformed, "use an unchanged recording", "trace: decode %s: %v", message.Type, err)
	}
	return decoded.Elem().Interface(), nil
}
