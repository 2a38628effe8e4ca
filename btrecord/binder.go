package btrecord

import (
	"encoding/json"
	"fmt"
	"math"
	"net/netip"
	"strconv"
	"time"
)

// maxSchema bounds schema versions, and maxCount all counts.
const (
	maxSchema = 1000
	maxCount  = math.MaxInt32
)

// presence says whether a field must be there.
type presence bool

const (
	optional presence = false
	required presence = true
)

// bounds are the smallest and the largest valid value of a number.
type bounds struct{ min, max float64 }

func between(low, high float64) bounds { return bounds{min: low, max: high} }

func atLeast(low float64) bounds { return bounds{min: low, max: maxCount} }

func (b bounds) String() string {
	return strconv.FormatFloat(b.min, 'f', -1, 64) + " to " + strconv.FormatFloat(b.max, 'f', -1, 64)
}

// binder connects the fields of a JSON object with the fields of a Go value.
// It either reads the object into the value or writes the value into the
// object. Both directions note which fields the binding knows.
type binder struct {
	fields Fields
	path   string
	write  bool
	seen   map[string]bool
	groups map[string]*binder
	*collector
}

func newBinder(fields Fields, path string, write bool, c *collector) *binder {
	return &binder{fields: fields, path: path, write: write, seen: map[string]bool{}, collector: c}
}

func (b *binder) at(name string) string {
	if b.path == "" {
		return name
	}
	return b.path + "." + name
}

func (b *binder) fail(name, problem, allowed string) {
	if b.write {
		return
	}
	b.add(b.at(name), problem, allowed, Invalid)
}

// group returns a binder for a nested object. A missing object has no fields.
func (b *binder) group(name string) *binder {
	b.seen[name] = true
	f, ok := b.fields[name].(Fields)
	if !ok && b.fields[name] != nil && !b.write {
		b.fail(name, "is "+typeName(b.fields[name]), "a mapping")
	}
	if !ok {
		f = Fields{}
	}
	g := newBinder(f, b.at(name), b.write, b.collector)
	if b.groups == nil {
		b.groups = map[string]*binder{}
	}
	b.groups[name] = g
	return g
}

// finish stores the written groups and warns of fields that were not bound.
func (b *binder) finish(warn bool) {
	for name, g := range b.groups {
		g.finish(warn)
		if !b.write {
			continue
		}
		if len(g.fields) > 0 {
			b.fields[name] = g.fields
			continue
		}
		delete(b.fields, name)
	}
	if b.write || !warn {
		return
	}
	for name := range b.fields {
		if !b.seen[name] {
			b.add(b.at(name), "is not known and has no effect", oneOf(sortedKeys(b.seen)...), Warning)
		}
	}
}

// clear removes all fields that the binding knows.
func (b *binder) clear() {
	for name, g := range b.groups {
		g.clear()
		if len(g.fields) > 0 {
			delete(b.seen, name)
		}
	}
	for name := range b.seen {
		delete(b.fields, name)
	}
}

// put writes a value, or removes the field if the value is its default.
func (b *binder) put(name string, v any, isDefault bool) {
	if isDefault {
		delete(b.fields, name)
		return
	}
	b.fields[name] = v
}

// bind reads or writes one field. T is the JSON type of the field.
func bind[T any](b *binder, name string, p presence, out T, isDefault bool, want string) (T, bool) {
	b.seen[name] = true
	if b.write {
		b.put(name, out, isDefault)
		return out, false
	}
	v := b.fields[name]
	if v == nil {
		if p == required {
			b.fail(name, "is missing", want)
		}
		return out, false
	}
	t, ok := v.(T)
	if !ok {
		b.fail(name, "is "+typeName(v), want)
	}
	return t, ok
}

func (b *binder) text(name string, v *string, p presence) {
	s, ok := bind(b, name, p, *v, *v == "", "a string")
	if !ok {
		return
	}
	if s == "" && p == required {
		b.fail(name, "is empty", "a string")
	}
	*v = s
}

func (b *binder) boolean(name string, v *bool) {
	if t, ok := bind(b, name, optional, *v, !*v, "true or false"); ok {
		*v = t
	}
}

func (b *binder) integer(name string, v *int, limit bounds) {
	n, ok := bind(b, name, optional, number(*v), *v == 0, "a whole number from "+limit.String())
	if !ok {
		return
	}
	i, err := strconv.Atoi(n.String())
	if err != nil || !limit.contains(float64(i)) {
		b.fail(name, n.String()+" is not valid", "a whole number from "+limit.String())
		return
	}
	*v = i
}

func (b *binder) float(name string, v *float64, limit bounds) {
	text := json.Number(strconv.FormatFloat(*v, 'g', -1, 64))
	n, ok := bind(b, name, optional, text, *v == 0, "a number from "+limit.String())
	if !ok {
		return
	}
	f, err := n.Float64()
	if err != nil || !limit.contains(f) {
		b.fail(name, n.String()+" is not valid", "a number from "+limit.String())
		return
	}
	*v = f
}

func (b bounds) contains(f float64) bool { return f >= b.min && f <= b.max }

func (b *binder) duration(name string, v *time.Duration) {
	const want = "a duration such as 30s, not negative"
	s, ok := bind(b, name, optional, v.String(), *v == 0, want)
	if !ok {
		return
	}
	d, err := time.ParseDuration(s)
	if err != nil || d < 0 {
		b.fail(name, quoted(s)+" is not valid", want)
		return
	}
	*v = d
}

func (b *binder) addrPort(name string, v *netip.AddrPort) {
	const want = "an IP address with a port, such as 10.0.0.7:9000"
	s, ok := bind(b, name, required, v.String(), !v.IsValid(), want)
	if !ok {
		return
	}
	a, err := netip.ParseAddrPort(s)
	if err != nil || a.Port() == 0 || a.Addr().IsUnspecified() || a.Addr().IsMulticast() || a.Addr().Zone() != "" {
		b.fail(name, quoted(s)+" is not valid", want)
		return
	}
	*v = a
}

func bindChecked[T ~string](b *binder, name string, v *T, p presence, check func(string) bool, rule string) {
	s, ok := bind(b, name, p, string(*v), *v == "", rule)
	if !ok || s == "" && p == optional {
		return
	}
	if !check(s) {
		b.fail(name, quoted(s)+" is not valid", rule)
		return
	}
	*v = T(s)
}

// bindName binds a reference to another record.
func bindName[T ~string](b *binder, name string, v *T, p presence) {
	bindChecked(b, name, v, p, ValidName, nameRule)
}

func bindLabel[T ~string](b *binder, name string, v *T, p presence) {
	bindChecked(b, name, v, p, validLabel, labelRule)
}

// bindEnum binds a field with fixed values. The first one is the default,
// unless the field is required.
func bindEnum[T ~string](b *binder, name string, v *T, p presence, allowed ...T) {
	names := make([]string, len(allowed))
	for i, a := range allowed {
		names[i] = string(a)
	}
	if !b.write && p == optional {
		*v = allowed[0]
	}
	isDefault := p == optional && (*v == "" || *v == allowed[0])
	s, ok := bind(b, name, p, string(*v), isDefault, oneOf(names...))
	if !ok {
		return
	}
	for _, a := range allowed {
		if string(a) == s {
			*v = a
			return
		}
	}
	b.fail(name, quoted(s)+" is not valid", oneOf(names...))
}

// list binds a list of distinct strings that pass a check.
func (b *binder) list(name string, v *[]string, check func(string) bool, rule string) {
	out := make([]any, len(*v))
	for i, s := range *v {
		out[i] = s
	}
	items, ok := bind(b, name, optional, out, len(out) == 0, "a list of strings: "+rule)
	if !ok {
		return
	}
	seen := map[string]bool{}
	var list []string
	for i, item := range items {
		at := fmt.Sprintf("%s[%d]", name, i)
		s, isText := item.(string)
		switch {
		case !isText:
			b.fail(at, "is "+typeName(item), rule)
		case !check(s):
			b.fail(at, quoted(s)+" is not valid", rule)
		case seen[s]:
			b.fail(at, quoted(s)+" is there twice", "each value once")
		default:
			list = append(list, s)
		}
		seen[s] = true
	}
	*v = list
}

func typeName(v any) string {
	switch v.(type) {
	case nil:
		return "null"
	case bool:
		return "a boolean"
	case string:
		return "a string"
	case json.Number:
		return "a number"
	case []any:
		return "a list"
	}
	return "a mapping"
}
