package bramleytack

import "context"

// Handler handles a request.
type Handler interface {
	// Handle returns when the request has ended. An error that carries no Outcome
	// counts as Unknown.
	Handle(ctx context.Context, r *Request, w ResponseWriter) error
}

// HandlerFunc makes a function a Handler.
type HandlerFunc func(ctx context.Context, r *Request, w ResponseWriter) error

// Handle calls f.
func (f HandlerFunc) Handle(ctx context.Context, r *Request, w ResponseWriter) error {
	return f(ctx, r, w)
}

// Filter handles one aspect of a request and passes the request on to next. It
// may call next more than once, or not at all.
type Filter interface {
	Handle(ctx context.Context, r *Request, w ResponseWriter, next Handler) error
}

// Chain returns a handler that passes a request through the filters in their
// order and then to last.
func Chain(last Handler, filters ...Filter) Handler {
	h := last
	for i := len(filters) - 1; i >= 0; i-- {
		f, next := filters[i], h
		h = HandlerFunc(func(ctx context.Context, r *Request, w ResponseWriter) error {
			return f.Handle(ctx, r, w, next)
		})
	}
	return h
}
