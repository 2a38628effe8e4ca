package btfront

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"

	"bramleytack"
)

// ErrorContentType is the content type of errors that the system itself reports.
// It distinguishes them from error responses of a service.
const ErrorContentType = "application/vnd.bramleytack.error+json"

// failureBody is the JSON of an error response and of an "error" event.
type failureBody struct {
	Error failureDetail `json:"error"`
}

type failureDetail struct {
	Code      bramleytack.Code      `json:"code"`
	Message   string                `json:"message"`
	Outcome   string                `json:"outcome"`
	RequestID bramleytack.RequestID `json:"requestId"`
}

func encodeFailure(req *bramleytack.Request, e *bramleytack.Error) []byte {
	body, _ := json.Marshal(failureBody{failureDetail{
		Code: e.Code, Message: e.Message, Outcome: e.Outcome.String(), RequestID: req.ID,
	}})
	return body
}

// fail sends an error as the whole response.
func (f *Front) fail(w http.ResponseWriter, req *bramleytack.Request, err error) {
	e := bramleytack.AsError(err)
	f.report(req, e)
	h := w.Header()
	h.Set("Content-Type", ErrorContentType)
	h.Set(HeaderRequestID, string(req.ID))
	h.Set(HeaderOutcome, e.Outcome.String())
	if e.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(e.RetryAfter.Seconds()))))
	}
	w.WriteHeader(e.Code.Status())
	_, _ = w.Write(append(encodeFailure(req, e), '\n'))
}

func (f *Front) report(req *bramleytack.Request, e *bramleytack.Error) {
	if f.OnError != nil {
		f.OnError(req, e)
	}
}
