package redwinghall

import "encoding/json"

// RowValue returns a row's value. It takes structs of plain fields only, which
// always marshal.
func RowValue(v any) json.RawMessage {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return data
}
