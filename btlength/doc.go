// Package btlength learns the distribution of output lengths while requests
// end, and forecasts how much a running generation will still produce.
//
// An Estimator keeps one histogram with log-spaced buckets for each
// (workspace, model, priority class), and coarser ones for (model, class),
// for the model and for everything. A forecast conditions on the tokens that
// were already produced. It takes the finest histogram and fills up with
// coarser ones while that has few samples. Old samples lose weight
// exponentially. The number of fine histograms is bounded; those that were not
// used for the longest time are evicted.
//
// # Usage
//
//	e := btlength.New(btlength.Config{})
//	key := btlength.Key{Workspace: w, Model: m, Priority: p}
//	e.Add(now, key, tokens)
//	rest := e.Residual(key, produced, 0.9)
//	curve := e.Curve(key, produced, maxTokens)
package btlength
