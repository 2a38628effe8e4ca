package btrecord

import (
	"encoding/json"

	"github.com/cockroachdb/errors"

	"bramleytack"
)

// Encode returns the record as an object of the store. The object has no
// version and no change id.
func Encode(r Record) (bramleytack.Object, error) {
	data, err := json.Marshal(r)
	if err != nil {
		return bramleytack.Object{}, errors.Wrapf(err, "btrecord: encode %s/%s", r.Kind, r.Name)
	}
	if len(data) > bramleytack.MaxObjectBytes {
		return bramleytack.Object{}, errors.Newf("btrecord: %s/%s has %d bytes, more than %d", r.Kind, r.Name, len(data), bramleytack.MaxObjectBytes)
	}
	return bramleytack.Object{Key: r.Key(), Data: data}, nil
}

// Decode returns the record in an object of the store. It checks that the
// record is the one that the key names, but not its spec.
func Decode(o bramleytack.Object) (Record, error) {
	r, err := DecodeJSON(o.Data)
	if err != nil {
		return Record{}, errors.Wrapf(err, "btrecord: decode %s/%s", o.Kind, o.Name)
	}
	if r.Key() != o.Key {
		return Record{}, errors.Newf("btrecord: object %s/%s holds the record %s/%s", o.Kind, o.Name, r.Kind, r.Name)
	}
	return r, nil
}

// DecodeJSON returns the record in a JSON object. It does not check the spec.
// Its error is Findings if the object is no record.
func DecodeJSON(data []byte) (Record, error) {
	f, err := decodeFields(data)
	if err != nil {
		return Record{}, err
	}
	c := &collector{}
	r := recordFrom(f, c)
	if err := c.findings.Err(); err != nil {
		return Record{}, err
	}
	return r, nil
}
