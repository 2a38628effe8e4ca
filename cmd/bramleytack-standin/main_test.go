package main

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"
)

// Guards against a subcommand that does not start, announces a wrong address
// or does not stop.
func TestSubcommands(t *testing.T) {
	for _, test := range []struct{ args, path, want string }{
		{"platform --host 127.0.0.1 --reads-per-second 5", "/hosts", `"addr":"127.0.0.1"`},
		{"engine --model crease-lm@1+fold --cold-limit 2", "/v1/load", `"adapter":"fold"`},
		{"service --instance orders --work 1ms", "/v1/load", `"instance":"orders-`},
	} {
		name, _, _ := strings.Cut(test.args, " ")
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			out, in := io.Pipe()
			ended := make(chan error, 1)
			go func() {
				args := append(strings.Fields(test.args), "--listen", "127.0.0.1:0", "--debug-listen", "127.0.0.1:0")
				ended <- newRootCommand(in, zerolog.Nop()).ParseAndRun(ctx, args)
				_ = in.Close()
			}()
			var line ready
			assert.NilError(t, json.NewDecoder(out).Decode(&line))
			assertGet(t, "http://"+line.Listening.String()+test.path, http.StatusOK, test.want)
			assertGet(t, "http://"+line.Debug.String()+"/debug/fault", http.StatusOK, "{}")
			assertGet(t, "http://"+line.Debug.String()+test.path, http.StatusNotFound, "")
			cancel()
			assert.NilError(t, <-ended)
		})
	}
}

// Guards against flags whose mistakes go unnoticed.
func TestBadFlags(t *testing.T) {
	for _, args := range []string{
		"engine --model crease-lm", "platform --host x", "service --listen 127.0.0.1", "none",
		"load --entry localhost", "load --entry 127.0.0.1:1", "load --key-file main_test.go",
	} {
		err := newRootCommand(io.Discard, zerolog.Nop()).ParseAndRun(t.Context(), strings.Fields(args))
		assert.Assert(t, err != nil, "%s", args)
	}
}

func assertGet(t *testing.T, url string, status int, want string) {
	t.Helper()
	resp, err := http.Get(url)
	assert.NilError(t, err)
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, status)
	assert.Assert(t, strings.Contains(string(body), want), "%s", body)
}
