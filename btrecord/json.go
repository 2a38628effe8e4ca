package btrecord

import (
	"bytes"
	"encoding/json"
	"io"
	"strconv"

	"github.com/cockroachdb/errors"
)

func number(n int) json.Number { return json.Number(strconv.Itoa(n)) }

// decodeFields reads one JSON object. Numbers keep their text, so that a
// rewrite does not round the figures of unknown fields.
func decodeFields(data []byte) (Fields, error) {
	d := json.NewDecoder(bytes.NewReader(data))
	d.UseNumber()
	var m map[string]any
	if err := d.Decode(&m); err != nil {
		return nil, errors.Wrap(err, "btrecord: not a JSON object")
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return nil, errors.New("btrecord: data after the JSON object")
	}
	if m == nil {
		return nil, errors.New("btrecord: not a JSON object")
	}
	return toFields(m), nil
}

func toFields(m map[string]any) Fields {
	f := make(Fields, len(m))
	for k, v := range m {
		f[k] = toValue(v)
	}
	return f
}

func toValue(v any) any {
	switch v := v.(type) {
	case map[string]any:
		return toFields(v)
	case []any:
		for i, e := range v {
			v[i] = toValue(e)
		}
	}
	return v
}
