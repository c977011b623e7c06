package problem

import (
	"bytes"
	"encoding/json"
	"io"
	"reflect"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
)

// MaxFileBytes is the maximum size of a configuration file. It is well below the
// maximum size of a message between instances, which is 4 MiB.
const MaxFileBytes = 1 << 20

// Decode decodes JSON into target, a pointer to a struct. Unlike encoding/json it
// rejects unknown and repeated fields, null, and field names in another case, and
// it continues after a problem to record the others. The problems never contain a
// string value of the file, since that may be a credential. Decode returns false
// if the text could not be read to its end; target is incomplete then and must
// not be checked further.
func (l *List) Decode(text []byte, target any) (complete bool) {
	if len(text) > MaxFileBytes {
		l.Add("", "at most "+strconv.Itoa(MaxFileBytes)+" bytes", strconv.Itoa(len(text)))
		return false
	}
	d := &decoder{list: l, text: text, json: json.NewDecoder(bytes.NewReader(text))}
	d.json.UseNumber()
	if err := d.value("", reflect.ValueOf(target).Elem()); err != nil {
		d.addSyntaxError(err)
		return false
	}
	if _, err := d.json.Token(); !errors.Is(err, io.EOF) {
		l.Add("", "the end of the file after the first value", "more text at "+d.position())
		return false
	}
	return true
}

// decoder decodes the text of a file and adds its problems to the list.
type decoder struct {
	list *List
	text []byte
	json *json.Decoder
}

func (d *decoder) addSyntaxError(err error) {
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		d.list.Add("", "complete JSON", "the end of the file")
		return
	}
	d.list.Add("", "JSON", "a syntax error at "+d.position())
}

// position returns the line and column that the decoder has reached.
func (d *decoder) position() string {
	before := d.text[:min(int(d.json.InputOffset()), len(d.text))]
	line := 1 + bytes.Count(before, []byte("\n"))
	column := len(before) - bytes.LastIndexByte(before, '\n')
	return "line " + strconv.Itoa(line) + " column " + strconv.Itoa(column)
}

// value decodes one value into v. An error means that the text is not valid JSON.
func (d *decoder) value(path string, v reflect.Value) error {
	t, err := d.json.Token()
	if err != nil {
		return err
	}
	if delim, ok := t.(json.Delim); ok {
		return d.nested(path, delim, v)
	}
	if !setScalar(v, t) {
		d.list.Add(path, describeType(v.Type()), describeToken(v, t))
	}
	return nil
}

// nested decodes an object or list whose opening delimiter was just read.
func (d *decoder) nested(path string, delim json.Delim, v reflect.Value) error {
	switch {
	case delim == '{' && v.Kind() == reflect.Struct:
		return d.object(path, v)
	case delim == '[' && v.Kind() == reflect.Slice:
		return d.array(path, v)
	}
	d.list.Add(path, describeType(v.Type()), describeToken(v, delim))
	return d.skipRest()
}

// object decodes the fields of an object and its closing delimiter.
func (d *decoder) object(path string, v reflect.Value) error {
	seen := map[string]bool{}
	for d.json.More() {
		t, err := d.json.Token()
		if err != nil {
			return err
		}
		name, _ := t.(string)
		field := Join(path, name)
		target, ok := fieldByName(v, name)
		switch {
		case !ok:
			d.list.Add(field, "one of "+strings.Join(fieldNames(v.Type()), ", "), "an unknown field")
		case seen[name]:
			d.list.Add(field, "the field once", "a repetition")
			ok = false
		}
		seen[name] = true
		if !ok {
			err = d.skip()
		} else {
			err = d.value(field, target)
		}
		if err != nil {
			return err
		}
	}
	_, err := d.json.Token()
	return err
}

// array decodes a list. It leaves the slice nil for an empty list, so that
// formatting and decoding the value give the same value again.
func (d *decoder) array(path string, v reflect.Value) error {
	for i := 0; d.json.More(); i++ {
		element := reflect.New(v.Type().Elem()).Elem()
		if err := d.value(At(path, i), element); err != nil {
			return err
		}
		v.Set(reflect.Append(v, element))
	}
	_, err := d.json.Token()
	return err
}

// skip skips one value.
func (d *decoder) skip() error {
	t, err := d.json.Token()
	if err != nil {
		return err
	}
	if _, ok := t.(json.Delim); ok {
		return d.skipRest()
	}
	return nil
}

// skipRest skips the rest of an object or list that was just opened. It counts the
// depth instead of recursing, as the nesting depth of a file is not limited.
func (d *decoder) skipRest() error {
	for depth := 1; depth > 0; {
		t, err := d.json.Token()
		if err != nil {
			return err
		}
		switch t {
		case json.Delim('{'), json.Delim('['):
			depth++
		case json.Delim('}'), json.Delim(']'):
			depth--
		}
	}
	return nil
}

// setScalar stores a scalar token in v and reports whether it has the type and range of v.
func setScalar(v reflect.Value, t json.Token) bool {
	switch x := t.(type) {
	case string:
		if v.Kind() == reflect.String {
			v.SetString(x)
			return true
		}
	case bool:
		if v.Kind() == reflect.Bool {
			v.SetBool(x)
			return true
		}
	case json.Number:
		return setNumber(v, x.String())
	}
	return false
}

// setNumber stores a number in v and reports whether v can hold it.
func setNumber(v reflect.Value, s string) bool {
	switch {
	case v.CanInt():
		n, err := strconv.ParseInt(s, 10, v.Type().Bits())
		v.SetInt(n)
		return err == nil
	case v.CanUint():
		n, err := strconv.ParseUint(s, 10, v.Type().Bits())
		v.SetUint(n)
		return err == nil
	case v.CanFloat():
		n, err := strconv.ParseFloat(s, v.Type().Bits())
		if err == nil {
			v.SetFloat(n)
		}
		return err == nil
	}
	return false
}

// fieldByName returns the field of v with the given JSON name.
func fieldByName(v reflect.Value, name string) (field reflect.Value, ok bool) {
	for i := range v.NumField() {
		if jsonName(v.Type().Field(i)) == name && name != "" {
			return v.Field(i), true
		}
	}
	return field, false
}

// fieldNames returns the JSON names of the fields of a struct type.
func fieldNames(t reflect.Type) []string {
	list := make([]string, 0, t.NumField())
	for i := range t.NumField() {
		if n := jsonName(t.Field(i)); n != "" {
			list = append(list, n)
		}
	}
	return list
}

// jsonName returns the field's JSON name, or "" if the field has none.
func jsonName(f reflect.StructField) string {
	name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
	if name == "-" {
		return ""
	}
	return name
}

// describeType describes the values that a field of type t accepts.
func describeType(t reflect.Type) string {
	switch t.Kind() {
	case reflect.Struct:
		return "an object"
	case reflect.Slice:
		return "a list"
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	case reflect.Float32, reflect.Float64:
		return "a number"
	case reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64, reflect.Uint:
		return "a whole number from 0 to " + strconv.FormatUint(1<<t.Bits()-1, 10)
	default:
		return "a whole number"
	}
}

// describeToken describes a token that is not a value for v. A number in place of a
// string is not shown, since it may be a credential without its quotes.
func describeToken(v reflect.Value, t json.Token) string {
	switch x := t.(type) {
	case json.Delim:
		if x == '{' {
			return "an object"
		}
		return "a list"
	case string:
		return "a string"
	case json.Number:
		if v.Kind() == reflect.String {
			return "a number"
		}
		return "the number " + x.String()
	case bool:
		return strconv.FormatBool(x)
	default:
		return "null"
	}
}
