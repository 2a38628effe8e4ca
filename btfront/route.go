package btfront

import (
	"context"
	"encoding/json"
	"net/http"
	"net/netip"
	"path"
	"strings"
	"time"

	"bramleytack"
)

func (f *Front) chat(w http.ResponseWriter, r *http.Request) {
	req := f.request(r, bramleytack.Generate)
	body, err := f.readBody(w, r)
	if err != nil {
		f.fail(w, req, err)
		return
	}
	c, err := decodeChat(body)
	if err == nil {
		err = options(r, req)
	}
	if err != nil {
		f.fail(w, req, err)
		return
	}
	req.Model = c.Model
	req.Prompt = c.prompt()
	req.MaxTokens = c.maxTokens()
	if c.Stream {
		f.serveStream(w, r, req)
		return
	}
	f.serve(r.Context(), w, req, &chatReply{w: w, req: req})
}

func (f *Front) resume(w http.ResponseWriter, r *http.Request) {
	req := f.request(r, bramleytack.Resume)
	req.GenerationToken = r.PathValue("token")
	from, err := startIndex(r)
	if err == nil {
		err = options(r, req)
	}
	if err != nil {
		f.fail(w, req, err)
		return
	}
	req.From = from
	f.serveStream(w, r, req)
}

func (f *Front) cancel(w http.ResponseWriter, r *http.Request) {
	req := f.request(r, bramleytack.Cancel)
	req.GenerationToken = r.PathValue("token")
	f.serve(r.Context(), w, req, &cancelReply{w: w})
}

func (f *Front) call(w http.ResponseWriter, r *http.Request) {
	req := f.request(r, bramleytack.Call)
	body, err := f.readBody(w, r)
	if err == nil {
		err = options(r, req)
	}
	if err == nil {
		req.Path, err = servicePath(r.PathValue("path"))
	}
	if err != nil {
		f.fail(w, req, err)
		return
	}
	req.Service = r.PathValue("service")
	req.Method = r.Method
	req.Query = r.URL.RawQuery
	req.Header = r.Header
	req.Body = body
	f.serve(r.Context(), w, req, &callReply{w: w, req: req})
}

// serve runs a request whose answer is sent at once.
func (f *Front) serve(ctx context.Context, w http.ResponseWriter, req *bramleytack.Request, reply bramleytack.ResponseWriter) {
	if err := f.RequestHandler.Handle(ctx, req, reply); err != nil {
		f.fail(w, req, err)
	}
}

// serveStream runs a request whose answer is an event stream.
func (f *Front) serveStream(w http.ResponseWriter, r *http.Request, req *bramleytack.Request) {
	window, err := resumeWindow(r)
	if err != nil {
		f.fail(w, req, err)
		return
	}
	ctx, stop := detach(r.Context(), window)
	defer stop()
	reply := newEventReply(w, req, f.Timer, window > 0)
	f.streams.add(reply)
	err = f.RequestHandler.Handle(ctx, req, reply)
	f.streams.remove(reply)
	switch {
	case err == nil:
	case !reply.started():
		f.fail(w, req, err)
	default:
		f.report(req, bramleytack.AsError(err))
		reply.fail(bramleytack.AsError(err))
	}
}

// detach returns a context that ends a window after its parent.
func detach(parent context.Context, window time.Duration) (context.Context, context.CancelFunc) {
	if window <= 0 {
		return context.WithCancel(parent)
	}
	ctx, cancel := context.WithCancel(context.WithoutCancel(parent))
	stop := context.AfterFunc(parent, func() {
		// WithTimeout keeps the window without a goroutine of its own.
		timeout, end := context.WithTimeout(ctx, window)
		context.AfterFunc(timeout, func() { end(); cancel() })
	})
	return ctx, func() { stop(); cancel() }
}

// entriesBody is the answer of the entry list.
type entriesBody struct {
	Entries []netip.AddrPort `json:"entries"`
	// ValidFor is a Go duration.
	ValidFor string `json:"validFor"`
}

func (f *Front) entries(w http.ResponseWriter, _ *http.Request) {
	body := entriesBody{Entries: []netip.AddrPort{}}
	if f.Entries != nil {
		addrs, validFor := f.Entries.Entries()
		body.Entries = append(body.Entries, addrs...)
		body.ValidFor = validFor.String()
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}

// servicePath returns a caller's path without anything that could leave the
// service's root.
func servicePath(p string) (string, error) {
	clean := strings.TrimPrefix(path.Clean("/"+p), "/")
	if clean != strings.TrimSuffix(p, "/") || strings.ContainsFunc(p, isControl) {
		return "", bad("path must be in its shortest form")
	}
	return p, nil
}

func isControl(r rune) bool { return r < ' ' || r == 0x7f || r == '\\' }
