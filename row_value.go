package redwinghall

import "encoding/json"

// RowValue encodes v as a row value. It panics if v cannot be marshaled, so v must
// be a struct that always can.
func RowValue(v any) json.RawMessage {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return data
}
