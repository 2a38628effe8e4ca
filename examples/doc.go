// Package examples holds example configurations of both deployments.
//
// # Usage
//
//	bramleytackd check --config FILE
package examples
