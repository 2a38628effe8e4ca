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
	req := f.newRequest(r, bramleytack.Generate)
	body, err := f.readBody(w, r)
	if err != nil {
		f.fail(w, req, err)
		return
	}
	c, err := decodeChat(body)
	if err == nil {
		err = decodeOptions(r, req)
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
	f.serve(r.Context(), w, req, &chatWriter{w: w, req: req})
}

func (f *Front) resume(w http.ResponseWriter, r *http.Request) {
	req := f.newRequest(r, bramleytack.Resume)
	req.GenerationToken = r.PathValue("token")
	from, err := startIndex(r)
	if err == nil {
		err = decodeOptions(r, req)
	}
	if err != nil {
		f.fail(w, req, err)
		return
	}
	req.From = from
	f.serveStream(w, r, req)
}

func (f *Front) cancel(w http.ResponseWriter, r *http.Request) {
	req := f.newRequest(r, bramleytack.Cancel)
	req.GenerationToken = r.PathValue("token")
	f.serve(r.Context(), w, req, &cancelWriter{w: w})
}

func (f *Front) call(w http.ResponseWriter, r *http.Request) {
	req := f.newRequest(r, bramleytack.Call)
	body, err := f.readBody(w, r)
	if err == nil {
		err = decodeOptions(r, req)
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
	f.serve(r.Context(), w, req, &callWriter{w: w, req: req})
}

// serve handles a request whose response is not streamed.
func (f *Front) serve(ctx context.Context, w http.ResponseWriter, req *bramleytack.Request, writer bramleytack.ResponseWriter) {
	if err := f.RequestHandler.Handle(ctx, req, writer); err != nil {
		f.fail(w, req, err)
	}
}

// serveStream handles a request whose response is an event stream.
func (f *Front) serveStream(w http.ResponseWriter, r *http.Request, req *bramleytack.Request) {
	window, err := resumeWindow(r)
	if err != nil {
		f.fail(w, req, err)
		return
	}
	ctx, stop := withResumeWindow(r.Context(), window)
	defer stop()
	stream := newEventWriter(w, req, f.Timer, window > 0)
	f.streams.add(stream)
	err = f.RequestHandler.Handle(ctx, req, stream)
	f.streams.remove(stream)
	switch {
	case err == nil:
	case !stream.started():
		f.fail(w, req, err)
	default:
		f.report(req, bramleytack.AsError(err))
		stream.fail(bramleytack.AsError(err))
	}
}

// withResumeWindow returns a context that is canceled when window has passed
// since the parent was, or together with the parent if window is not positive.
func withResumeWindow(parent context.Context, window time.Duration) (context.Context, context.CancelFunc) {
	if window <= 0 {
		return context.WithCancel(parent)
	}
	ctx, cancel := context.WithCancel(context.WithoutCancel(parent))
	stop := context.AfterFunc(parent, func() {
		// A timeout context needs no goroutine during the window.
		windowCtx, cancelWindow := context.WithTimeout(ctx, window)
		context.AfterFunc(windowCtx, func() { cancelWindow(); cancel() })
	})
	return ctx, func() { stop(); cancel() }
}

// entriesBody is the JSON of the entry list.
type entriesBody struct {
	Entries []netip.AddrPort `json:"entries"`
	// ValidFor is a duration in the format of time.Duration.String.
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

// servicePath returns p, or an error if p contains anything by which it could
// refer to a place outside the service's root.
func servicePath(p string) (string, error) {
	cleaned := strings.TrimPrefix(path.Clean("/"+p), "/")
	if cleaned != strings.TrimSuffix(p, "/") || strings.ContainsFunc(p, isForbidden) {
		return "", badRequest("path must not contain empty, \".\" or \"..\" segments, backslashes or control characters")
	}
	return p, nil
}

// isForbidden reports whether r is a control character or a backslash.
func isForbidden(r rune) bool { return r < ' ' || r == 0x7f || r == '\\' }
