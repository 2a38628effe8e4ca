package btentry

import (
	"testing"

	"gotest.tools/v3/assert"

	"bramleytack/internal/route/btgrant"
)

// Guards against values of the limit header that are taken for no limit, for one without
// end, or that cause a panic.
func TestReadLimit(t *testing.T) {
	none := btgrant.Limit{}
	for _, c := range []struct {
		name   string
		values []string
		want   btgrant.Limit
		ok     bool
	}{
		{"none", nil, none, true},
		{"number", []string{"4.5"}, btgrant.LimitOf(4.5), true},
		{"spaces", []string{" 7 "}, btgrant.LimitOf(7), true},
		{"zero", []string{"0"}, btgrant.LimitOf(0), true},
		{"negative", []string{"-3"}, btgrant.LimitOf(0), true},
		{"negative infinity", []string{"-inf"}, btgrant.LimitOf(0), true},
		{"tiny", []string{"1e-300"}, btgrant.LimitOf(1e-300), true},
		{"huge", []string{"1e308"}, btgrant.LimitOf(1e6), true},
		{"out of range", []string{"1e999"}, btgrant.LimitOf(1e6), true},
		{"infinity", []string{"inf"}, btgrant.LimitOf(1e6), true},
		{"empty", []string{""}, none, false},
		{"not a number", []string{"NaN"}, none, false},
		{"text", []string{"plenty"}, none, false},
		{"two numbers", []string{"9, 3"}, btgrant.LimitOf(3), true},
		{"several headers", []string{"9", "2"}, btgrant.LimitOf(2), true},
		{"text and number", []string{"x", "5"}, btgrant.LimitOf(5), true},
	} {
		t.Run(c.name, func(t *testing.T) {
			got, ok := readLimit(c.values)
			assert.Equal(t, ok, c.ok)
			assert.Equal(t, got, c.want)
		})
	}
}
