package jsonc

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

// rawMessage is the type of fields whose JSON is kept without decoding.
var rawMessage = reflect.TypeFor[json.RawMessage]()

// decodeValue decodes one JSON value into a settable Go value.
func (d *Document) decodeValue(path string, v hujson.Value, into reflect.Value) {
	if into.Type() == rawMessage {
		into.SetBytes(d.source[v.StartOffset:v.EndOffset])
		return
	}
	switch into.Kind() {
	case reflect.Pointer:
		d.decodePointer(path, v, into)
	case reflect.Struct:
		d.decodeObject(path, v, into)
	case reflect.Slice:
		d.decodeArray(path, v, into)
	default:
		d.decodeLiteral(path, v, into)
	}
}

func (d *Document) decodePointer(path string, v hujson.Value, into reflect.Value) {
	if v.Value.Kind() == 'n' {
		return
	}
	target := reflect.New(into.Type().Elem())
	d.decodeValue(path, v, target.Elem())
	into.Set(target)
}

func (d *Document) decodeObject(path string, v hujson.Value, into reflect.Value) {
	object, ok := v.Value.(*hujson.Object)
	if !ok {
		d.addWrongType(path, v, "an object")
		return
	}
	fields := fieldsOf(into.Type())
	seen := make(map[string]int, len(object.Members))
	for _, member := range object.Members {
		name := unquote(member.Name.Value.(hujson.Literal))
		at := join(path, name)
		if first, twice := seen[name]; twice {
			line, column := Position(d.source, first)
			d.add(member.Name.StartOffset, at, "is given twice", fmt.Sprintf("remove it here or at %d:%d", line, column))
			continue
		}
		seen[name] = member.Name.StartOffset
		index, known := fields[name]
		if !known {
			d.add(member.Name.StartOffset, at, "is not a known field", suggest(name, fields))
			continue
		}
		d.decodeValue(at, member.Value, into.Field(index))
	}
}

func (d *Document) decodeArray(path string, v hujson.Value, into reflect.Value) {
	array, ok := v.Value.(*hujson.Array)
	if !ok {
		d.addWrongType(path, v, "a list")
		return
	}
	into.Set(reflect.MakeSlice(into.Type(), len(array.Elements), len(array.Elements)))
	for i, element := range array.Elements {
		d.decodeValue(path+"["+strconv.Itoa(i)+"]", element, into.Index(i))
	}
}

func (d *Document) decodeLiteral(path string, v hujson.Value, into reflect.Value) {
	literal, _ := v.Value.(hujson.Literal)
	kind := v.Value.Kind()
	switch into.Kind() {
	case reflect.String:
		if kind != '"' {
			d.addWrongType(path, v, "a string")
			return
		}
		into.SetString(unquote(literal))
	case reflect.Bool:
		if kind != 't' && kind != 'f' {
			d.addWrongType(path, v, "true or false")
			return
		}
		into.SetBool(kind == 't')
	case reflect.Int, reflect.Int64:
		d.decodeInteger(path, v, string(literal), into)
	case reflect.Float64:
		d.decodeFloat(path, v, string(literal), into)
	}
}

func (d *Document) decodeInteger(path string, v hujson.Value, literal string, into reflect.Value) {
	number, err := strconv.ParseInt(literal, 10, 64)
	if v.Value.Kind() != '0' || err != nil {
		d.addWrongType(path, v, "a whole number")
		return
	}
	into.SetInt(number)
}

func (d *Document) decodeFloat(path string, v hujson.Value, literal string, into reflect.Value) {
	number, err := strconv.ParseFloat(literal, 64)
	if v.Value.Kind() != '0' || err != nil || math.IsInf(number, 0) {
		d.addWrongType(path, v, "a number")
		return
	}
	into.SetFloat(number)
}

func (d *Document) addWrongType(path string, v hujson.Value, want string) {
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

// unquote returns the value of a string literal. Most literals have no escapes, and
// copying them is faster than the JSON decoder.
func unquote(literal hujson.Literal) string {
	inner := literal[1 : len(literal)-1]
	if bytes.IndexByte(inner, '\\') < 0 && utf8.Valid(inner) {
		return string(inner)
	}
	return literal.String()
}

// knownFields caches the results of fieldsOf. It needs no bound, since only a few
// types are ever decoded.
var knownFields sync.Map

// fieldsOf maps the JSON names of a struct's fields to the field indexes.
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
