// Package examples holds the settings and records of two example deployments,
// foldwell and karamanlis. The records are given in both schema versions.
//
// # Usage
//
//	bramleytackd check --config FILE
package examples
