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

// MaxFileBytes is the most bytes that a configuration file may have. It stays well
// below the largest message between instances, 4 MiB.
const MaxFileBytes = 1 << 20

// Decode reads JSON into target, a pointer to a struct. Unlike encoding/json it
// refuses unknown and repeated fields, null and names that differ in case, and
// it goes on after a fault to record the others. What it records never holds a
// string value of the file, since that may be a credential. It returns false if
// the text could not be read to its end, so that checks of target make no sense.
func (l *List) Decode(text []byte, target any) (complete bool) {
	if len(text) > MaxFileBytes {
		l.Add("", "at most "+strconv.Itoa(MaxFileBytes)+" bytes", strconv.Itoa(len(text)))
		return false
	}
	d := &decoder{list: l, text: text, json: json.NewDecoder(bytes.NewReader(text))}
	d.json.UseNumber()
	if err := d.value("", reflect.ValueOf(target).Elem()); err != nil {
		d.syntax(err)
		return false
	}
	if _, err := d.json.Token(); !errors.Is(err, io.EOF) {
		l.Add("", "the end of the file after the first value", "more text at "+d.place())
		return false
	}
	return true
}

type decoder struct {
	list *List
	text []byte
	json *json.Decoder
}

func (d *decoder) syntax(err error) {
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		d.list.Add("", "complete JSON", "the end of the file")
		return
	}
	d.list.Add("", "JSON", "a syntax error at "+d.place())
}

// place names the line and column reached.
func (d *decoder) place() string {
	before := d.text[:min(int(d.json.InputOffset()), len(d.text))]
	line := 1 + bytes.Count(before, []byte("\n"))
	column := len(before) - bytes.LastIndexByte(before, '\n')
	return "line " + strconv.Itoa(line) + " column " + strconv.Itoa(column)
}

// value reads one value into v. An error means that the text is not JSON.
func (d *decoder) value(path string, v reflect.Value) error {
	t, err := d.json.Token()
	if err != nil {
		return err
	}
	if delim, ok := t.(json.Delim); ok {
		return d.nested(path, delim, v)
	}
	if !set(v, t) {
		d.list.Add(path, describe(v.Type()), token(v, t))
	}
	return nil
}

func (d *decoder) nested(path string, delim json.Delim, v reflect.Value) error {
	switch {
	case delim == '{' && v.Kind() == reflect.Struct:
		return d.object(path, v)
	case delim == '[' && v.Kind() == reflect.Slice:
		return d.array(path, v)
	}
	d.list.Add(path, describe(v.Type()), token(v, delim))
	return d.rest()
}

func (d *decoder) object(path string, v reflect.Value) error {
	seen := map[string]bool{}
	for d.json.More() {
		t, err := d.json.Token()
		if err != nil {
			return err
		}
		name, _ := t.(string)
		field := Join(path, name)
		target, ok := find(v, name)
		switch {
		case !ok:
			d.list.Add(field, "one of "+strings.Join(names(v.Type()), ", "), "an unknown field")
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

// array leaves the slice nil for an empty list, so that printing and reading
// give the same value again.
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

// skip passes over one value.
func (d *decoder) skip() error {
	t, err := d.json.Token()
	if err != nil {
		return err
	}
	if _, ok := t.(json.Delim); ok {
		return d.rest()
	}
	return nil
}

// rest passes over what is left of an object or list that was just opened. It
// counts the depth instead of recursing, as the nesting of a file is not bounded.
func (d *decoder) rest() error {
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

// set stores a scalar token and tells whether it fits.
func set(v reflect.Value, t json.Token) bool {
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
		return number(v, x.String())
	}
	return false
}

func number(v reflect.Value, s string) bool {
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

// find returns the field with that JSON name.
func find(v reflect.Value, name string) (field reflect.Value, ok bool) {
	for i := range v.NumField() {
		if label(v.Type().Field(i)) == name && name != "" {
			return v.Field(i), true
		}
	}
	return field, false
}

func names(t reflect.Type) []string {
	list := make([]string, 0, t.NumField())
	for i := range t.NumField() {
		if n := label(t.Field(i)); n != "" {
			list = append(list, n)
		}
	}
	return list
}

func label(f reflect.StructField) string {
	name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
	if name == "-" {
		return ""
	}
	return name
}

func describe(t reflect.Type) string {
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

// token describes what was found instead of a value for v. A number in place of
// a string is not shown: it may be a credential whose quotes were left out.
func token(v reflect.Value, t json.Token) string {
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
