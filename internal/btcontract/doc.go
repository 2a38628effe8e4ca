// Package btcontract holds tests that each implementation of an interface of
// the root package has to pass.
//
// # Usage
//
//	func TestContract(t *testing.T) {
//		btcontract.TestStore(t, func(*testing.T) bramleytack.Store { return btmemstore.New() })
//	}
package btcontract
