package btplatform

import (
	"bytes"
	"encoding/json"
	"io"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"bramleytack"
)

// Object is an object as it travels.
type Object struct {
	Kind     string               `json:"kind"`
	Name     string               `json:"name"`
	Version  bramleytack.Revision `json:"version"`
	ChangeID string               `json:"changeId,omitempty"`
	Deleted  bool                 `json:"deleted,omitempty"`
	Data     json.RawMessage      `json:"data,omitempty"`
}

// List is the answer to a list.
type List struct {
	Revision bramleytack.Revision `json:"revision"`
	Objects  []Object             `json:"objects"`
}

// WriteReply is the answer to a write that took effect.
type WriteReply struct {
	Version bramleytack.Revision `json:"version"`
}

// WatchLine is one line of a watch: a change, or a heartbeat with a revision up
// to which all changes were sent.
type WatchLine struct {
	Object    *Object              `json:"object,omitempty"`
	Heartbeat bool                 `json:"heartbeat,omitempty"`
	Revision  bramleytack.Revision `json:"revision,omitempty"`
}

// Host is one host of the host list.
type Host struct {
	Addr    netip.Addr `json:"addr"`
	Leaving bool       `json:"leaving"`
}

// Hosts is the host list as it travels.
type Hosts struct {
	At    time.Time `json:"at"`
	Hosts []Host    `json:"hosts"`
}

// ErrorBody is the answer to a call that failed.
type ErrorBody struct {
	Error string `json:"error"`
}

// maxBodyBytes bounds the body of a write: the largest value with some white
// space.
const maxBodyBytes = bramleytack.MaxObjectBytes + 4096

var (
	errInvalid  = errors.New("btplatform: invalid request")
	errTooLarge = errors.New("btplatform: value is too large")
)

// DecodeWrite reads the body of a write to key, which is the JSON value itself.
// The value loses insignificant white space.
func DecodeWrite(r io.Reader, key bramleytack.Key) (bramleytack.Object, error) {
	body, err := io.ReadAll(io.LimitReader(r, maxBodyBytes+1))
	if err != nil {
		return bramleytack.Object{}, errors.Mark(err, errInvalid)
	}
	if len(body) > maxBodyBytes {
		return bramleytack.Object{}, errTooLarge
	}
	var data bytes.Buffer
	if err := json.Compact(&data, body); err != nil {
		return bramleytack.Object{}, errors.Mark(err, errInvalid)
	}
	if data.Len() > bramleytack.MaxObjectBytes {
		return bramleytack.Object{}, errTooLarge
	}
	return bramleytack.Object{Key: key, Data: data.Bytes()}, nil
}

// ParseVersion reads an If-Match header, with or without quotes.
func ParseVersion(s string) (bramleytack.Revision, error) {
	if len(s) >= 2 && strings.HasPrefix(s, `"`) && strings.HasSuffix(s, `"`) {
		s = s[1 : len(s)-1]
	}
	n, err := strconv.ParseUint(s, 10, 64)
	if err != nil {
		return 0, errors.Wrap(errInvalid, "If-Match needs a version")
	}
	return bramleytack.Revision(n), nil
}

func toWire(o bramleytack.Object) Object {
	return Object{
		Kind: o.Kind, Name: o.Name, Version: o.Version,
		ChangeID: o.ChangeID, Deleted: o.Deleted, Data: o.Data,
	}
}

func toWireHosts(l bramleytack.HostList) Hosts {
	h := Hosts{At: l.At, Hosts: make([]Host, 0, len(l.Hosts))}
	for _, s := range l.Hosts {
		h.Hosts = append(h.Hosts, Host(s))
	}
	return h
}

func fromWireHosts(h Hosts) bramleytack.HostList {
	l := bramleytack.HostList{At: h.At}
	for _, s := range h.Hosts {
		l.Hosts = append(l.Hosts, bramleytack.HostState(s))
	}
	return l
}
