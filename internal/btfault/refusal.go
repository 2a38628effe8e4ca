package btfault

import (
	"encoding/json"
	"net/http"
)

// Refusal is the body of a typed refusal.
type Refusal struct {
	NotRun bool   `json:"notRun"`
	Reason string `json:"reason"`
}

// WriteJSON answers with a JSON value.
func WriteJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	e := json.NewEncoder(w)
	e.SetEscapeHTML(false)
	// A caller that is gone needs no answer.
	_ = e.Encode(v)
}

// WriteRefusal answers that the request did not run.
func WriteRefusal(w http.ResponseWriter, status int, reason string) {
	WriteJSON(w, status, Refusal{NotRun: true, Reason: reason})
}

func writeRefuse(w http.ResponseWriter, f Refuse) {
	status := f.Status
	if status == 0 {
		status = http.StatusServiceUnavailable
	}
	WriteJSON(w, status, Refusal{NotRun: !f.Untyped, Reason: "fault"})
}
