package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/peterbourgon/ff/v3/ffcli"

	"bramleytack"
	"bramleytack/btclient"
)

// generator is the generate command.
type generator struct {
	*app
	connection
	format
	prompt btclient.Prompt
}

func (a *app) generate() *ffcli.Command {
	g := &generator{app: a}
	fs := a.flagSet("generate")
	g.connection.bind(fs)
	g.format.bind(fs)
	fs.StringVar(&g.prompt.Model, "model", "", "name of the model")
	fs.IntVar(&g.prompt.MaxTokens, "max-tokens", 0, "longest output (default: the model's)")
	fs.StringVar(&g.prompt.Priority, "priority", "", "batch, standard or interactive (default: the workspace's)")
	fs.DurationVar(&g.prompt.Timeout, "timeout", 0, "deadline of the request (default: the entry's)")
	fs.DurationVar(&g.prompt.ResumeWindow, "resume-window", 0, "how long the generation outlives a lost connection (default: the entry's)")
	return command(fs, "[PROMPT]", "Streams a generation to standard output. The prompt is an argument or standard input.", g.exec)
}

func (g *generator) exec(ctx context.Context, args []string) error {
	c, err := g.caller(&g.connection)
	if err != nil {
		return err
	}
	if g.prompt.Model == "" {
		return usage("--model is required")
	}
	g.prompt.Text = strings.Join(args, " ")
	if len(args) == 0 {
		data, err := io.ReadAll(g.in)
		if err != nil {
			return err
		}
		g.prompt.Text = string(data)
	}
	result, err := c.Generate(ctx, g.prompt, g.token)
	if err != nil {
		fmt.Fprintf(g.log, "\ngeneration ended after %d tokens, token %s\n", result.Tokens, result.Token)
		return withOutcome(err)
	}
	return g.end(result)
}

// token prints a token. With JSON output, each token is an object on a line.
func (g *generator) token(t bramleytack.Token) error {
	if g.format == formatTable {
		_, err := io.WriteString(g.out, t.Text)
		return err
	}
	return json.NewEncoder(g.out).Encode(struct {
		Index int    `json:"index"`
		Text  string `json:"text"`
	}{t.Index, t.Text})
}

func (g *generator) end(r btclient.Result) error {
	if g.format == formatTable {
		_, err := fmt.Fprintln(g.out)
		fmt.Fprintf(g.log, "%d tokens, finish reason %s, resumed %d times, first token after %s, longest gap %s\n",
			r.Tokens, r.FinishReason, r.Resumed, r.FirstToken.Round(time.Millisecond), r.Longest.Round(time.Millisecond))
		return err
	}
	return json.NewEncoder(g.out).Encode(struct {
		GenerationToken string `json:"generationToken"`
		Tokens          int    `json:"tokens"`
		FinishReason    string `json:"finishReason"`
		Resumed         int    `json:"resumed"`
		FirstToken      string `json:"firstToken"`
		LongestGap      string `json:"longestGap"`
	}{r.Token, r.Tokens, r.FinishReason, r.Resumed, r.FirstToken.String(), r.Longest.String()})
}

// serviceCaller is the call command.
type serviceCaller struct {
	*app
	connection
	format
	call     btclient.Call
	data     string
	dataFile string
}

func (a *app) call() *ffcli.Command {
	s := &serviceCaller{app: a}
	fs := a.flagSet("call")
	s.connection.bind(fs)
	s.format.bind(fs)
	fs.StringVar(&s.call.Method, "method", "", "HTTP method (default: POST with a body, else GET)")
	fs.StringVar(&s.data, "data", "", "body of the call")
	fs.StringVar(&s.dataFile, "data-file", "", "file with the body, - for standard input")
	fs.StringVar(&s.call.ContentType, "content-type", "application/json", "type of the body")
	fs.StringVar(&s.call.Key, "key", "", "idempotency key, the same for all repeats of a call")
	fs.DurationVar(&s.call.Timeout, "timeout", 0, "deadline of the call (default: the service's)")
	return command(fs, "SERVICE PATH", "Calls a plain service.", s.exec)
}

const callArgs = 2

func (s *serviceCaller) exec(ctx context.Context, args []string) error {
	if len(args) != callArgs {
		return usage("call takes a service and a path; flags go before them")
	}
	c, err := s.caller(&s.connection)
	if err != nil {
		return err
	}
	s.call.Service, s.call.Path = args[0], strings.TrimPrefix(args[1], "/")
	if err := s.readBody(); err != nil {
		return err
	}
	resp, err := c.Call(ctx, s.call)
	if err != nil {
		return withOutcome(err)
	}
	if err := s.printResponse(resp); err != nil {
		return err
	}
	if resp.Status >= http.StatusBadRequest {
		return withStatus(exitFailed, errors.Newf("service answered with status %d", resp.Status))
	}
	return nil
}

func (s *serviceCaller) readBody() error {
	if s.data != "" && s.dataFile != "" {
		return usage("--data and --data-file exclude each other")
	}
	s.call.Body = []byte(s.data)
	if s.dataFile != "" {
		data, err := s.readFile(s.dataFile)
		if err != nil {
			return usage("%v", err)
		}
		s.call.Body = data
	}
	hasBody := len(s.call.Body) > 0
	if !hasBody {
		s.call.ContentType = ""
	}
	switch {
	case s.call.Method != "":
	case hasBody:
		s.call.Method = http.MethodPost
	default:
		s.call.Method = http.MethodGet
	}
	return nil
}

func (s *serviceCaller) printResponse(r *bramleytack.Response) error {
	if s.format == formatTable {
		_, err := s.out.Write(r.Body)
		return err
	}
	return s.print(formatJSON, struct {
		Status int         `json:"status"`
		Header http.Header `json:"header"`
		Body   string      `json:"body"`
	}{r.Status, r.Header, string(r.Body)}, nil)
}
