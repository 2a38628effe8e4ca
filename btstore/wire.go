package btstore

import (
	"encoding/json"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"

	"bramleytack"
)

// wireObject is the JSON form of an object or, if Deleted is set, of its
// tombstone.
type wireObject struct {
	Kind     string          `json:"kind"`
	Name     string          `json:"name"`
	Version  uint64          `json:"version"`
	ChangeID string          `json:"changeId,omitempty"`
	Deleted  bool            `json:"deleted,omitempty"`
	Data     json.RawMessage `json:"data,omitempty"`
}

// wireList is the response to a list call.
type wireList struct {
	Revision uint64       `json:"revision"`
	Objects  []wireObject `json:"objects"`
}

// wireEvent is a line of a watch: a change or a heartbeat.
type wireEvent struct {
	Object    *wireObject `json:"object,omitempty"`
	Heartbeat bool        `json:"heartbeat,omitempty"`
	Revision  uint64      `json:"revision,omitempty"`
}

// wireVersion is the response to a write.
type wireVersion struct {
	Version uint64 `json:"version"`
}

// wireHosts is the response to a request for the host list.
type wireHosts struct {
	At    time.Time  `json:"at"`
	Hosts []wireHost `json:"hosts"`
}

type wireHost struct {
	Addr    netip.Addr `json:"addr"`
	Leaving bool       `json:"leaving"`
}

func (w wireObject) object() (bramleytack.Object, error) {
	if w.Kind == "" || w.Name == "" || w.Version == 0 {
		return bramleytack.Object{}, errors.New("object has no kind, name or version")
	}
	return bramleytack.Object{
		Key:      bramleytack.Key{Kind: w.Kind, Name: w.Name},
		Version:  bramleytack.Revision(w.Version),
		ChangeID: w.ChangeID,
		Deleted:  w.Deleted,
		Data:     w.Data,
	}, nil
}

func decodeObject(data []byte) (bramleytack.Object, error) {
	var w wireObject
	if err := json.Unmarshal(data, &w); err != nil {
		return bramleytack.Object{}, errors.Wrap(err, "malformed object")
	}
	return w.object()
}

func decodeList(data []byte, kind string) ([]bramleytack.Object, bramleytack.Revision, error) {
	var w wireList
	if err := json.Unmarshal(data, &w); err != nil {
		return nil, 0, errors.Wrap(err, "malformed list")
	}
	list := make([]bramleytack.Object, 0, len(w.Objects))
	for _, e := range w.Objects {
		o, err := e.object()
		if err != nil {
			return nil, 0, err
		}
		if o.Kind != kind || o.Version > bramleytack.Revision(w.Revision) {
			return nil, 0, errors.Newf("list at revision %d holds %s/%s at version %d", w.Revision, o.Kind, o.Name, o.Version)
		}
		if !o.Deleted {
			list = append(list, o)
		}
	}
	return list, bramleytack.Revision(w.Revision), nil
}

func decodeEvent(line []byte) (o bramleytack.Object, heartbeat bool, err error) {
	var w wireEvent
	if err := json.Unmarshal(line, &w); err != nil {
		return o, false, errors.Wrap(err, "malformed event")
	}
	if w.Object == nil {
		if !w.Heartbeat {
			return o, false, errors.New("event is neither a change nor a heartbeat")
		}
		return o, true, nil
	}
	o, err = w.Object.object()
	return o, false, err
}

func decodeVersion(data []byte) (bramleytack.Revision, error) {
	var w wireVersion
	if err := json.Unmarshal(data, &w); err != nil {
		return 0, errors.Wrap(err, "malformed response to a write")
	}
	if w.Version == 0 {
		return 0, errors.New("response to a write has no version")
	}
	return bramleytack.Revision(w.Version), nil
}

func decodeHosts(data []byte) (bramleytack.HostList, error) {
	var w wireHosts
	if err := json.Unmarshal(data, &w); err != nil {
		return bramleytack.HostList{}, errors.Wrap(err, "malformed host list")
	}
	l := bramleytack.HostList{At: w.At}
	for _, h := range w.Hosts {
		if !h.Addr.IsValid() {
			return bramleytack.HostList{}, errors.New("host has no address")
		}
		l.Hosts = append(l.Hosts, bramleytack.HostState{Addr: h.Addr, Leaving: h.Leaving})
	}
	return l, nil
}
