package operator

import (
	"bytes"
	"encoding/json"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
)

// EncodeReply returns the JSON of a reply for operators. It is that of protojson
// with proto field names and all fields, in two points changed: 64-bit integers
// are numbers instead of strings, and the fault, which has become the status
// code by then, is left out.
func EncodeReply(m proto.Message) (text json.RawMessage, err error) {
	defer func() {
		if err != nil {
			err = errors.Wrap(err, "encode reply")
		}
	}()
	raw, err := protojson.MarshalOptions{UseProtoNames: true, EmitUnpopulated: true}.Marshal(m)
	if err != nil {
		return nil, err
	}
	d := json.NewDecoder(bytes.NewReader(raw))
	d.UseNumber()
	var tree map[string]any
	if err = d.Decode(&tree); err != nil {
		return nil, err
	}
	numbers(m.ProtoReflect().Descriptor(), tree)
	delete(tree, "fault")
	return json.Marshal(tree)
}

// numbers replaces the strings of 64-bit fields by numbers.
func numbers(d protoreflect.MessageDescriptor, tree map[string]any) {
	for i := range d.Fields().Len() {
		f := d.Fields().Get(i)
		value := tree[string(f.Name())]
		if list, ok := value.([]any); ok {
			for i := range list {
				list[i] = number(f, list[i])
			}
			continue
		}
		if value != nil {
			tree[string(f.Name())] = number(f, value)
		}
	}
}

// number converts one value of a field. The messages of this project have no
// map fields, so a map is always a message here.
func number(f protoreflect.FieldDescriptor, value any) any {
	switch x := value.(type) {
	case map[string]any:
		numbers(f.Message(), x)
	case string:
		switch f.Kind() {
		case protoreflect.Int64Kind, protoreflect.Uint64Kind, protoreflect.Sint64Kind,
			protoreflect.Fixed64Kind, protoreflect.Sfixed64Kind:
			return json.Number(x)
		}
	}
	return value
}
