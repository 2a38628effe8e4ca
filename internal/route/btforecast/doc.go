// Package btforecast predicts how long generations become.
//
// A caller's hint is right in the median and often far off, and the lengths of
// one route's generations spread less than the hints. The forecast weighs both
// on a logarithmic scale.
//
// # Usage
//
//	l := btforecast.New(timers)
//	l.Learn("guides", 900)
//	tokens := l.Forecast("guides", hint, bound)
package btforecast
