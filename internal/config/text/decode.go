package text

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math"
	"reflect"
	"strconv"
	"strings"
	"sync"
	"unicode/utf8"

	"github.com/tailscale/hujson"
)

var rawMessage = reflect.TypeFor[json.RawMessage]()

// value reads one value into a settable Go value.
func (d *Document) value(path string, v hujson.Value, into reflect.Value) {
	if into.Type() == rawMessage {
		into.SetBytes(d.source[v.StartOffset:v.EndOffset])
		return
	}
	switch into.Kind() {
	case reflect.Pointer:
		d.pointer(path, v, into)
	case reflect.Struct:
		d.object(path, v, into)
	case reflect.Slice:
		d.array(path, v, into)
	default:
		d.literal(path, v, into)
	}
}

func (d *Document) pointer(path string, v hujson.Value, into reflect.Value) {
	if v.Value.Kind() == 'n' {
		return
	}
	made := reflect.New(into.Type().Elem())
	d.value(path, v, made.Elem())
	into.Set(made)
}

func (d *Document) object(path string, v hujson.Value, into reflect.Value) {
	object, ok := v.Value.(*hujson.Object)
	if !ok {
		d.wrongType(path, v, "an object")
		return
	}
	fields := fieldsOf(into.Type())
	seen := make(map[string]int, len(object.Members))
	for _, member := range object.Members {
		name := unquote(member.Name.Value.(hujson.Literal))
		at := join(path, name)
		if first, twice := seen[name]; twice {
			line, column := position(d.source, first)
			d.add(member.Name.StartOffset, at, "is given twice", fmt.Sprintf("remove it here or at %d:%d", line, column))
			continue
		}
		seen[name] = member.Name.StartOffset
		index, known := fields[name]
		if !known {
			d.add(member.Name.StartOffset, at, "is not a known field", suggest(name, fields))
			continue
		}
		d.value(at, member.Value, into.Field(index))
	}
}

func (d *Document) array(path string, v hujson.Value, into reflect.Value) {
	array, ok := v.Value.(*hujson.Array)
	if !ok {
		d.wrongType(path, v, "a list")
		return
	}
	into.Set(reflect.MakeSlice(into.Type(), len(array.Elements), len(array.Elements)))
	for i, element := range array.Elements {
		d.value(path+"["+strconv.Itoa(i)+"]", element, into.Index(i))
	}
}

func (d *Document) literal(path string, v hujson.Value, into reflect.Value) {
	literal, _ := v.Value.(hujson.Literal)
	kind := v.Value.Kind()
	switch into.Kind() {
	case reflect.String:
		if kind != '"' {
			d.wrongType(path, v, "a string")
			return
		}
		into.SetString(unquote(literal))
	case reflect.Bool:
		if kind != 't' && kind != 'f' {
			d.wrongType(path, v, "true or false")
			return
		}
		into.SetBool(kind == 't')
	case reflect.Int, reflect.Int64:
		d.integer(path, v, string(literal), into)
	case reflect.Float64:
		d.float(path, v, string(literal), into)
	}
}

func (d *Document) integer(path string, v hujson.Value, literal string, into reflect.Value) {
	number, err := strconv.ParseInt(literal, 10, 64)
	if v.Value.Kind() != '0' || err != nil {
		d.wrongType(path, v, "a whole number")
		return
	}
	into.SetInt(number)
}

func (d *Document) float(path string, v hujson.Value, literal string, into reflect.Value) {
	number, err := strconv.ParseFloat(literal, 64)
	if v.Value.Kind() != '0' || err != nil || math.IsInf(number, 0) {
		d.wrongType(path, v, "a number")
		return
	}
	into.SetFloat(number)
}

func (d *Document) wrongType(path string, v hujson.Value, want string) {
	d.add(v.StartOffset, path, "must be "+want+", not "+kindName(v), "")
}

func kindName(v hujson.Value) string {
	switch v.Value.Kind() {
	case 'n':
		return "null"
	case 't', 'f':
		return "true or false"
	case '"':
		return "a string"
	case '0':
		return "the number " + string(v.Value.(hujson.Literal))
	case '{':
		return "an object"
	default:
		return "a list"
	}
}

// unquote returns the value of a string. Most have no escapes and are copied
// without the JSON decoder.
func unquote(literal hujson.Literal) string {
	inner := literal[1 : len(literal)-1]
	if bytes.IndexByte(inner, '\\') < 0 && utf8.Valid(inner) {
		return string(inner)
	}
	return literal.String()
}

// knownFields caches what fieldsOf finds; the types are few and fixed.
var knownFields sync.Map

// fieldsOf maps the JSON names of a struct's fields to their indexes.
func fieldsOf(t reflect.Type) map[string]int {
	if known, ok := knownFields.Load(t); ok {
		return known.(map[string]int)
	}
	fields := make(map[string]int, t.NumField())
	for i := range t.NumField() {
		name, _, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
		if name != "" && name != "-" {
			fields[name] = i
		}
	}
	knownFields.Store(t, fields)
	return fields
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
