package operator

import (
	"bytes"
	"encoding/json"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
)

// EncodeReply returns a reply of the control service as JSON. It is the output of
// protojson with proto field names and unpopulated fields, with two differences:
// 64-bit integers are numbers instead of strings, and the fault is left out because
// the HTTP status conveys it.
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
	convertFields(m.ProtoReflect().Descriptor(), tree)
	delete(tree, "fault")
	return json.Marshal(tree)
}

// convertFields replaces the string values of 64-bit integer fields by numbers.
func convertFields(d protoreflect.MessageDescriptor, tree map[string]any) {
	for i := range d.Fields().Len() {
		f := d.Fields().Get(i)
		value := tree[string(f.Name())]
		if list, ok := value.([]any); ok {
			for i := range list {
				list[i] = convertValue(f, list[i])
			}
			continue
		}
		if value != nil {
			tree[string(f.Name())] = convertValue(f, value)
		}
	}
}

// convertValue converts one value of a field. None of the messages has map fields,
// so a map is always a nested message.
func convertValue(f protoreflect.FieldDescriptor, value any) any {
	switch x := value.(type) {
	case map[string]any:
		convertFields(f.Message(), x)
	case string:
		switch f.Kind() {
		case protoreflect.Int64Kind, protoreflect.Uint64Kind, protoreflect.Sint64Kind,
			protoreflect.Fixed64Kind, protoreflect.Sfixed64Kind:
			return json.Number(x)
		}
	}
	return value
}
