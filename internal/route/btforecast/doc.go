// Package btforecast predicts the output lengths of generations in tokens.
//
// Callers' hints are right in the median but often far off; the lengths of one
// route's generations vary less. The forecast is the weighted mean of the hint and
// the route's median length on a logarithmic scale.
//
// # Usage
//
//	l := btforecast.New(timers)
//	l.Learn("guides", 900)
//	tokens := l.Forecast("guides", hint, bound)
package btforecast
