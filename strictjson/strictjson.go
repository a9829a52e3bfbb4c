// Package strictjson decodes JSON settings and manifests. It reports all unknown
// fields and type errors at once, not only the first one.
package strictjson

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"reflect"
	"sort"
	"strings"
)

// Problem is one error in the document, at a path such as "models[0].replicas".
type Problem struct {
	Path    string
	Message string
	// Unknown says that the only problem is that the field isn't known.
	Unknown bool
}

// Decode decodes data into dst, which must be a pointer to a struct. If it returns
// any problems, the content of dst is undefined.
func Decode(data []byte, dst any) []Problem {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.UseNumber()
	var doc any
	if err := decoder.Decode(&doc); err != nil {
		return []Problem{{Path: "$", Message: "this is not valid JSON: " + err.Error()}}
	}
	if _, err := decoder.Token(); err != io.EOF {
		return []Problem{{Path: "$", Message: "text follows the JSON document"}}
	}
	problems := check("", doc, reflect.TypeOf(dst).Elem())
	if len(problems) > 0 {
		return problems
	}
	if err := json.Unmarshal(data, dst); err != nil {
		return []Problem{{Path: "$", Message: err.Error()}}
	}
	return nil
}

var unmarshalerType = reflect.TypeFor[json.Unmarshaler]()

func check(path string, doc any, want reflect.Type) []Problem {
	if reflect.PointerTo(want).Implements(unmarshalerType) {
		return checkUnmarshaler(path, doc, want)
	}
	switch want.Kind() {
	case reflect.Struct:
		return checkStruct(path, doc, want)
	case reflect.Slice:
		return checkSlice(path, doc, want)
	case reflect.Map:
		return checkMap(path, doc, want)
	case reflect.Pointer:
		return check(path, doc, want.Elem())
	default:
		return checkScalar(path, doc, want)
	}
}

func checkUnmarshaler(path string, doc any, want reflect.Type) []Problem {
	raw, err := json.Marshal(doc)
	if err != nil {
		return oneProblem(path, err.Error())
	}
	value := reflect.New(want).Interface().(json.Unmarshaler)
	if err := value.UnmarshalJSON(raw); err != nil {
		return oneProblem(path, err.Error())
	}
	return nil
}

func checkStruct(path string, doc any, want reflect.Type) []Problem {
	object, ok := doc.(map[string]any)
	if !ok {
		return oneProblem(path, "want an object, got "+describe(doc))
	}
	fields := map[string]reflect.Type{}
	addFields(fields, want)
	var problems []Problem
	for _, name := range sortedKeys(object) {
		fieldType, known := fields[name]
		if !known {
			problems = append(problems, Problem{Path: join(path, name), Message: "this field is not known", Unknown: true})
			continue
		}
		problems = append(problems, check(join(path, name), object[name], fieldType)...)
	}
	return problems
}

// addFields adds the types of a struct's fields by their JSON names. The fields of an
// embedded struct are added as if they were the struct's own.
func addFields(fields map[string]reflect.Type, t reflect.Type) {
	for i := range t.NumField() {
		field := t.Field(i)
		name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
		switch {
		case field.Anonymous && name == "":
			addFields(fields, field.Type)
		case name == "":
			fields[field.Name] = field.Type
		default:
			fields[name] = field.Type
		}
	}
}

func checkSlice(path string, doc any, want reflect.Type) []Problem {
	list, ok := doc.([]any)
	if !ok {
		return oneProblem(path, "want a list, got "+describe(doc))
	}
	var problems []Problem
	for i, item := range list {
		problems = append(problems, check(fmt.Sprintf("%s[%d]", path, i), item, want.Elem())...)
	}
	return problems
}

func checkMap(path string, doc any, want reflect.Type) []Problem {
	object, ok := doc.(map[string]any)
	if !ok {
		return oneProblem(path, "want an object, got "+describe(doc))
	}
	var problems []Problem
	for _, name := range sortedKeys(object) {
		problems = append(problems, check(join(path, name), object[name], want.Elem())...)
	}
	return problems
}

func checkScalar(path string, doc any, want reflect.Type) []Problem {
	if doc == nil {
		return oneProblem(path, "want a value, got null")
	}
	raw, err := json.Marshal(doc)
	if err != nil {
		return oneProblem(path, err.Error())
	}
	if err := json.Unmarshal(raw, reflect.New(want).Interface()); err != nil {
		return oneProblem(path, fmt.Sprintf("want %s, got %s", scalarName(want), describe(doc)))
	}
	return nil
}

func scalarName(t reflect.Type) string {
	switch t.Kind() {
	case reflect.String:
		return "text"
	case reflect.Bool:
		return "true or false"
	case reflect.Float32, reflect.Float64:
		return "a number"
	default:
		return "a whole number"
	}
}

func describe(doc any) string {
	switch v := doc.(type) {
	case nil:
		return "null"
	case string:
		return "text"
	case json.Number:
		return "the number " + v.String()
	case bool:
		return "true or false"
	case []any:
		return "a list"
	default:
		return "an object"
	}
}

func oneProblem(path, message string) []Problem {
	if path == "" {
		path = "$"
	}
	return []Problem{{Path: path, Message: message}}
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

func sortedKeys(object map[string]any) []string {
	keys := make([]string, 0, len(object))
	for k := range object {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	return keys
}
