// Command measure compares all policies on both mixes.
//
// It writes table.md, table.csv and plots into DIR. The last line of its
// output is the ratio of ours to the best simple baseline.
//
// # Usage
//
//	measure [-quick] [-workers N] DIR
package main
