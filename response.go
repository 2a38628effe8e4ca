package bramleytack

import "net/http"

// Token is one token of a generation. Indices count from 0.
type Token struct {
	Index int
	Text  string
}

// Opening is the start of a generation's response, before the first token.
type Opening struct {
	RequestID RequestID
	Model     string
	Version   string
	// GenerationToken lets the caller resume the generation through any daemon.
	GenerationToken string
}

// Completion is the end of a generation's response.
type Completion struct {
	FinishReason string
	// PromptTokens and Tokens are the counts that the engine reported.
	PromptTokens int
	Tokens       int
}

// Response is the HTTP response of a plain service.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// ResponseWriter receives the response to a request. A generation is answered by
// one Open, its tokens in order and one Close; a call by one Respond. An error
// means that the caller can no longer be reached.
type ResponseWriter interface {
	Open(Opening) error
	Token(Token) error
	Close(Completion) error
	Respond(*Response) error
}
