// Package btlag holds values that become visible some time after they came
// true, such as load reports.
//
// # Usage
//
//	var reports btlag.Buffer[bramleytack.LoadReport]
//	reports.Add(now, report)
//	shown, at, ok := reports.Latest(now.Add(-lag))
package btlag
