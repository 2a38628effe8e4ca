// Command btdemo runs a fleet for demonstrations. scripts/demo builds and
// starts it.
//
// # Usage
//
//	scripts/demo --once
//	scripts/demo --serve DIR
//
// With --once it runs the demonstration and exits with status 0 only if all
// that it checks held. With --serve it leaves the fleet running until it is
// interrupted and writes processes.json, api-key and operator.yaml to DIR.
package main
