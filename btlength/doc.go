// Package btlength learns the distribution of output lengths from completed
// requests and forecasts how many tokens a running generation will still
// produce.
//
// An Estimator keeps one histogram with log-spaced buckets for each
// (workspace, model, priority class), and coarser ones for (model, class),
// for the model and for all requests. A forecast is conditional on the tokens
// that were already produced. It starts with the finest histogram and adds
// coarser ones until there are enough samples. The weight of a sample decays
// exponentially with its age. The number of histograms is bounded; the least
// recently used ones are evicted.
//
// # Usage
//
//	e := btlength.New(btlength.Config{})
//	key := btlength.Key{Workspace: w, Model: m, Priority: p}
//	e.Add(now, key, tokens)
//	remaining := e.Residual(key, produced, 0.9)
//	curve := e.Curve(key, produced, maxTokens)
package btlength
